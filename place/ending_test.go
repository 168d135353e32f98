package place

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"galenastair"
)

// hold places a copy on a server.
func (f *fleet) hold(server, model int, s CopyState) {
	w := f.catalogue[model]
	f.servers[server].Copies = append(f.servers[server].Copies, Copy{w, s})
	f.servers[server].FreeMemory -= w.Memory
}

// loadOf returns the server on which the last round loads a model; empty if none.
func (f *fleet) loadOf(model int) galenastair.BackendServerID {
	for _, s := range f.steps {
		if s.Kind == galenastair.LoadModel && s.Weight == f.catalogue[model] {
			return s.Server
		}
	}
	return ""
}

func endingPlanner() *Planner {
	return NewPlanner(Settings{LoadsPerSecond: 10, LoadsInFlight: 10, ServerCapacity: 1000, MinCopyLifetime: time.Minute, MoveCooldown: time.Minute})
}

// A copy of m0 for load waits until e01 has unloaded m1, which can take seconds. The only other copy is
// on a server that ends. Guards against a model that stays without a copy although e02 has room.
func TestModelOfAnEndingServerDoesNotWaitForItsSwap(t *testing.T) {
	is := is.New(t)
	f := newFleet(3, 2, 0, 21)
	f.hold(0, 0, Ready)
	f.hold(1, 1, Unloading)
	f.hold(2, 1, Ready)
	f.servers[2].FreeMemory = 15
	f.work["m0"] = 100
	p := endingPlanner()
	p.swaps["e01"] = &swap{model: "m0", victims: []galenastair.ModelName{"m1"}, reason: Relief, startedAt: f.now}
	f.runRound(p, 200*time.Millisecond)
	is.Equal(f.loadOf(0), galenastair.BackendServerID(""))
	f.servers[0].Leaving, f.servers[0].Ending = true, true
	f.runRound(p, 200*time.Millisecond)
	is.Equal(f.loadOf(0), galenastair.BackendServerID("e02"))
	is.Equal(len(p.swaps), 0)
}

// Guards against a load that waits behind another one, for which an engine takes seconds: the idle engine
// takes it, although it has more load.
func TestModelOfAnEndingServerIsNotQueuedBehindALoad(t *testing.T) {
	is := is.New(t)
	f := newFleet(3, 3, 0, 100)
	f.hold(0, 0, Ready)
	f.hold(1, 1, Loading)
	f.hold(2, 2, Ready)
	f.work["m0"], f.work["m2"] = 100, 300
	f.servers[0].Leaving, f.servers[0].Ending = true, true
	f.runRound(endingPlanner(), 200*time.Millisecond)
	is.Equal(f.loadOf(0), galenastair.BackendServerID("e02"))
}

// Guards against a swap that waits until the cooldown of copies that were added just before has passed.
func TestModelOfAnEndingServerDoesNotWaitForACooldown(t *testing.T) {
	is := is.New(t)
	f := newFleet(3, 3, 0, 22)
	f.hold(0, 0, Ready)
	f.hold(1, 1, Ready)
	f.hold(2, 1, Ready)
	f.servers[0].FreeMemory, f.servers[1].FreeMemory, f.servers[2].FreeMemory = 0, 0, 0
	f.work["m0"] = 100
	p := endingPlanner()
	p.addedAt[copyKey{"e01", "m1"}], p.addedAt[copyKey{"e02", "m1"}] = f.now, f.now
	p.recentMoves["m0"] = moveCount{f.now, 1}
	f.servers[0].Leaving, f.servers[0].Ending = true, true
	f.runRound(p, 200*time.Millisecond)
	is.Equal(len(f.steps), 1)
	is.Equal(f.steps[0].Kind, galenastair.UnloadModel)
	is.Equal(f.steps[0].Weight, f.catalogue[1])
}

// Guards against a swap on an engine that first carries out another load.
func TestRoomForAModelOfAnEndingServerIsMadeWhereNothingIsLoaded(t *testing.T) {
	is := is.New(t)
	f := newFleet(3, 4, 0, 22)
	f.hold(0, 0, Ready)
	f.hold(1, 1, Ready)
	f.hold(1, 3, Loading)
	f.hold(2, 1, Ready)
	f.hold(2, 2, Ready)
	f.servers[0].FreeMemory, f.servers[1].FreeMemory, f.servers[2].FreeMemory = 0, 0, 0
	f.work["m0"], f.work["m2"] = 100, 300
	f.servers[0].Leaving, f.servers[0].Ending = true, true
	f.runRound(endingPlanner(), 200*time.Millisecond)
	is.Equal(len(f.steps), 1)
	is.Equal(f.steps[0], Step{galenastair.UnloadModel, "e02", f.catalogue[1], MakeRoom})
}
