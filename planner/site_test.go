package planner

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"galenastair"
	"galenastair/catalog"
	"galenastair/place"
)

// reliefCopies plans for two engines, one of which is somewhat busier, and returns the number of
// copies that are added to relieve it.
func reliefCopies(load time.Duration) int {
	plan := newPlacer(&catalog.Engine{LoadsPerSecond: 5, Models: []catalog.Model{{Name: "m", LoadTime: load}}})
	in := place.Input{
		Now:       time.Unix(1000, 0),
		Catalogue: []galenastair.ModelWeights{{Name: "m", Memory: 10}, {Name: "n", Memory: 10}},
		Work: func(name galenastair.ModelName) float64 {
			return map[galenastair.ModelName]float64{"m": 0.9, "n": 0.5}[name]
		},
	}
	for i, name := range []galenastair.ModelName{"m", "n"} {
		in.Servers = append(in.Servers, place.Server{
			ID: galenastair.BackendServerID(string(rune('a' + i))), FreeMemory: 20,
			Copies: []place.Copy{{Weight: galenastair.ModelWeights{Name: name, Memory: 10}, State: place.Ready}},
		})
	}
	n := 0
	for _, s := range plan.Plan(in) {
		if s.Reason == place.Relief {
			n++
		}
	}
	return n
}

// One engine is somewhat busier than another for a moment. If a load takes 2 s, a copy helps its
// callers at once. If it takes 6 s, the moment has passed when the copy is ready, and the copy has
// cost memory and weight store capacity.
func TestShortLoadsAllowEarlierRelief(t *testing.T) {
	is := is.New(t)
	is.Equal(reliefCopies(2*time.Second), 1)
	is.Equal(reliefCopies(6*time.Second), 0)
}
