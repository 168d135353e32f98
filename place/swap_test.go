package place

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"galenastair"
)

// Callers of a model are refused for half a minute. Room was being made for it on one
// backend server when that crashed; its place in the plan was kept for as long as an unload
// may take, and no other backend server was asked meanwhile.
func TestSwapEndsWithItsServer(t *testing.T) {
	is := is.New(t)
	f := newFleet(3, 3, 0, 30)
	for i := range f.servers {
		for _, w := range f.catalogue[:2] {
			f.servers[i].Copies = append(f.servers[i].Copies, Copy{w, Ready})
			f.servers[i].Free -= w.Memory
		}
	}
	f.work["m2"] = 100
	p := NewPlanner(Settings{LoadsPerSecond: 1, LoadsInFlight: 2, ServerWork: 1000})
	f.round(p, time.Second)
	is.Equal(f.steps[0].Kind, galenastair.UnloadModel)
	crashed := f.steps[0].Server
	f.due, f.steps = nil, nil
	kept := f.servers[:0]
	for _, s := range f.servers {
		if s.ID != crashed {
			kept = append(kept, s)
		}
	}
	f.servers = kept
	f.round(p, time.Second)
	is.True(len(f.steps) > 0) // another backend server makes room at once
	is.True(f.steps[0].Server != crashed)
}

// A new leader has not raised its fence at the engine with room yet, and unloaded copies at another
// to make some: the model waited for the unloads and their reports.
func TestNothingIsUnloadedWhileAnEngineWithRoomOpens(t *testing.T) {
	is := is.New(t)
	f := newFleet(3, 3, 0, 30)
	for i := range f.servers[:2] {
		for _, w := range f.catalogue[:2] {
			f.servers[i].Copies = append(f.servers[i].Copies, Copy{w, Ready})
			f.servers[i].Free -= w.Memory
		}
	}
	f.servers[2].Closed, f.servers[2].Opening = true, true
	f.work["m2"] = 100
	p := NewPlanner(Settings{LoadsPerSecond: 1, LoadsInFlight: 2, ServerWork: 1000})
	f.round(p, time.Second)
	is.Equal(len(f.steps), 0)
	f.servers[2].Opening = false // its fence is not shown for too long
	f.round(p, time.Second)
	is.Equal(f.steps[0].Kind, galenastair.UnloadModel)
}
