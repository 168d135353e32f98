package planner

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"galenastair"
	"galenastair/catalog"
	"galenastair/place"
)

// copies plays two engines of which one has somewhat more to do than the other, and counts
// the copies that are made for it.
func copies(load time.Duration) int {
	plan := newPlan(&catalog.Engine{LoadsPerSecond: 5, Models: []catalog.Model{{Name: "m", Load: load}}})
	in := place.Input{
		Now:       time.Unix(1000, 0),
		Catalogue: []galenastair.Weight{{Name: "m", Memory: 10}, {Name: "n", Memory: 10}},
		Work: func(name galenastair.ModelName) float64 {
			return map[galenastair.ModelName]float64{"m": 0.9, "n": 0.5}[name]
		},
	}
	for i, name := range []galenastair.ModelName{"m", "n"} {
		in.Servers = append(in.Servers, place.Server{
			ID: galenastair.BackendServerID(string(rune('a' + i))), Free: 20,
			Copies: []place.Copy{{Weight: galenastair.Weight{Name: name, Memory: 10}, State: place.Ready}},
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

// One engine is somewhat busier than another for a moment. Where a load takes two seconds a
// copy helps its callers at once; where it takes six, the moment is over when it is there, and
// it has cost a place and a turn at the weight store.
func TestCopiesAreMadeSoonerWhereLoadsAreQuick(t *testing.T) {
	is := is.New(t)
	is.Equal(copies(2*time.Second), 1)
	is.Equal(copies(6*time.Second), 0)
}
