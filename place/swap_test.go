package place

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"galenastair"
)

// A backend server crashed while a swap made room for a model there. The swap was kept until
// swapTimeout, so the model was loaded nowhere else and its callers were refused for 30 s.
func TestSwapEndsWithItsServer(t *testing.T) {
	is := is.New(t)
	f := newFleet(3, 3, 0, 30)
	for i := range f.servers {
		for _, w := range f.catalogue[:2] {
			f.servers[i].Copies = append(f.servers[i].Copies, Copy{w, Ready})
			f.servers[i].FreeMemory -= w.Memory
		}
	}
	f.work["m2"] = 100
	p := NewPlanner(Settings{LoadsPerSecond: 1, LoadsInFlight: 2, ServerCapacity: 1000})
	f.runRound(p, time.Second)
	is.Equal(f.steps[0].Kind, galenastair.UnloadModel)
	crashed := f.steps[0].Server
	f.inProgress, f.steps = nil, nil
	kept := f.servers[:0]
	for _, s := range f.servers {
		if s.ID != crashed {
			kept = append(kept, s)
		}
	}
	f.servers = kept
	f.runRound(p, time.Second)
	is.True(len(f.steps) > 0) // a swap starts on another backend server at once
	is.True(f.steps[0].Server != crashed)
}

// The engine with room had not confirmed the fence of a new leader yet, so the leader unloaded copies
// on another engine, and the model waited for these unloads and their reports.
func TestNothingIsUnloadedWhileAnEngineWithRoomAwaitsTheFence(t *testing.T) {
	is := is.New(t)
	f := newFleet(3, 3, 0, 30)
	for i := range f.servers[:2] {
		for _, w := range f.catalogue[:2] {
			f.servers[i].Copies = append(f.servers[i].Copies, Copy{w, Ready})
			f.servers[i].FreeMemory -= w.Memory
		}
	}
	f.servers[2].Unschedulable, f.servers[2].SchedulableSoon = true, true
	f.work["m2"] = 100
	p := NewPlanner(Settings{LoadsPerSecond: 1, LoadsInFlight: 2, ServerCapacity: 1000})
	f.runRound(p, time.Second)
	is.Equal(len(f.steps), 0)
	f.servers[2].SchedulableSoon = false // the fence was not confirmed in time
	f.runRound(p, time.Second)
	is.Equal(f.steps[0].Kind, galenastair.UnloadModel)
}
