package place

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"galenastair"
)

// copiesWithoutLimit counts the ready and loading copies of a model on servers that are not
// rate-limited.
func (f *fleet) copiesWithoutLimit(name galenastair.ModelName) int {
	n := 0
	for _, s := range f.servers {
		for _, c := range s.Copies {
			if !s.RateLimited && c.Weight.Name == name && c.State != Unloading {
				n++
			}
		}
	}
	return n
}

// Half of the servers are rate-limited, so callers of their busy models are refused. If all of
// their models were loaded elsewhere, copies of other models would be evicted and loaded again in
// turn.
func TestOnlyBusyModelsOfRateLimitedServersAreCopied(t *testing.T) {
	is := is.New(t)
	f := newFleet(4, 8, 0, 3)
	for i, w := range f.catalogue {
		f.catalogue[i].Memory, w.Memory = 1, 1
		s := &f.servers[i%4]
		s.Copies = append(s.Copies, Copy{w, Ready})
		s.FreeMemory -= w.Memory
		f.work[w.Name] = 5
	}
	f.servers[0].RateLimited, f.servers[1].RateLimited = true, true
	f.work["m0"] = 200
	p := NewPlanner(hotSettings)
	for range 30 {
		f.runRound(p, time.Second)
	}
	is.True(f.copiesWithoutLimit("m0") > 0)
	loads := 0
	for _, s := range f.steps {
		if s.Kind == galenastair.LoadModel {
			loads++
			is.True(s.Server != f.servers[0].ID && s.Server != f.servers[1].ID)
		}
	}
	is.True(loads <= 2)
	for _, w := range f.catalogue {
		is.True(f.copiesWithoutLimit(w.Name) > 0 || w.Name == "m4" || w.Name == "m1" || w.Name == "m5")
	}
}
