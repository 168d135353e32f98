package place

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"galenastair"
)

// hotFleet has one copy of each model, and all models are cached on every backend server. Only
// the first model is in demand, by as much as two backend servers can do.
func hotFleet(servers, models int, total galenastair.Bytes) *fleet {
	f := newFleet(servers, models, 0, total)
	for i, w := range f.catalogue {
		f.catalogue[i].Memory = 10
		w.Memory = 10
		s := &f.servers[i%servers]
		s.Copies = append(s.Copies, Copy{w, Ready})
		s.FreeMemory -= w.Memory
	}
	for i := range f.servers {
		f.servers[i].CachedModels = map[galenastair.ModelName]bool{}
		for _, w := range f.catalogue {
			f.servers[i].CachedModels[w.Name] = true
		}
	}
	f.work["m0"] = 2000
	return f
}

var hotSettings = Settings{
	LoadsPerSecond: 1, LoadsInFlight: 2, ServerCapacity: 1000, RebalanceThreshold: 0.3, MinGain: 0.1, MinDemand: 1, IdleEvictionThreshold: 1.2, MovesPerRound: 3,
}

func evictsOnlyCopy(f *fleet) bool {
	for _, s := range f.steps {
		if s.Kind == galenastair.UnloadModel && s.Weight.Name != "m0" {
			return true
		}
	}
	return false
}

// The first callers of a rare model are refused until it is loaded. All models fit into memory, yet
// each time a model became busy the only copy of another was evicted for it, although there were
// second copies to evict.
func TestOnlyCopiesAreKeptWhereAllModelsFit(t *testing.T) {
	is := is.New(t)
	f := hotFleet(6, 12, 28)
	second := newFleet(2, 0, 0, 28)
	for i, s := range second.servers {
		s.ID, s.CachedModels = galenastair.BackendServerID(fmt.Sprint("second", i)), f.servers[len(f.servers)-1].CachedModels
		for _, w := range f.catalogue[1:3] {
			s.Copies = append(s.Copies, Copy{w, Ready})
			s.FreeMemory -= w.Memory
		}
		f.servers = append([]Server{s}, f.servers...)
	}
	p := NewPlanner(hotSettings)
	for range 20 {
		f.runRound(p, time.Second)
		is.Equal(fmt.Sprint(f.unreachable()), "[]")
	}
	is.True(len(f.steps) > 0) // copies of the busy model replace second copies
}

// After the loss of a third of the memory, each engine is full of only copies. Those without demand
// are evicted; otherwise all callers of the busy model would wait at one engine.
func TestOnlyCopiesAreEvictedWhereMemoryIsScarce(t *testing.T) {
	is := is.New(t)
	f := hotFleet(6, 18, 30)
	p := NewPlanner(hotSettings)
	for range 20 {
		f.runRound(p, time.Second)
	}
	is.True(evictsOnlyCopy(f))
}

// All engines are about equally busy. Copies kept moving between them, each at the cost of a load
// and of the engine's prompt cache, and no caller waited less.
func TestEvenLoadMovesNothing(t *testing.T) {
	is := is.New(t)
	f := newFleet(6, 6, 0, 30)
	for i, w := range f.catalogue {
		f.servers[i].Copies = append(f.servers[i].Copies, Copy{w, Ready})
		f.servers[i].FreeMemory -= w.Memory
		f.work[w.Name] = 800 + 100*float64(i)
	}
	settings := hotSettings
	settings.ImbalanceThreshold = 2
	p := NewPlanner(settings)
	for range 20 {
		f.runRound(p, time.Second)
	}
	is.Equal(fmt.Sprint(f.steps), "[]")
}

// The demand for a model grows tens of times over among a hundred engines. It got one more copy per
// second, and at most eight, while its callers waited at a few engines.
func TestManyCopiesForAModelOfManyCallers(t *testing.T) {
	is := is.New(t)
	f := hotFleet(120, 120, 30)
	f.work["m0"] = 20_000
	settings := hotSettings
	settings.LoadsPerSecond, settings.LoadsInFlight, settings.MoveCooldown = 30, 60, 1200*time.Millisecond
	p := NewPlanner(settings)
	for range 10 {
		f.runRound(p, time.Second)
	}
	copies := 0
	for _, s := range f.servers {
		for _, c := range s.Copies {
			if c.Weight.Name == "m0" {
				copies++
			}
		}
	}
	// one engine can do 1000 of the 20000
	is.True(copies >= 20)
}
