package planner

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"galenastair"
	"galenastair/pool"
)

// addEngine adds an engine without models.
func (h *harness) addEngine(id string) {
	h.t.Helper()
	e := &fakeEngine{id: galenastair.BackendServerID(id), incarnation: 1, models: map[galenastair.ModelName][]string{}}
	h.fleet.fakes[id] = e
	if err := h.planner.SetServer(h.t.Context(), e.registration()); err != nil {
		h.t.Fatal(err)
	}
}

// leavingRegistration is the registration of an engine that announces that it ends.
func (h *harness) leavingRegistration(id galenastair.BackendServerID, left time.Duration) pool.Server {
	s := h.fleet.fakes[string(id)].registration()
	now := h.fleet.clock.now
	s.Leaving, s.LeavingSince, s.GoneAt = true, now, now.Add(left)
	return s
}

// Guards against a model that is unreachable once an engine with its only copy has ended as announced:
// the first round orders another copy, although the engines' memory is full and the copies that make
// room for it have been loaded just before.
func TestCopiesOfAnEngineThatEndsAreLoadedElsewhereAtOnce(t *testing.T) {
	for seed := range uint64(8) {
		is := is.New(t)
		h := newHarness(t, seed, 4)
		h.addEngine("spare")
		demand := map[galenastair.ModelName]time.Duration{"m0": tokens(9000), "m3": tokens(500), "m4": tokens(500), "m5": tokens(500)}
		for range 15 {
			h.reportDemand(demand)
			h.step(200 * time.Millisecond)
			for _, e := range h.fleet.fakes {
				is.NoErr(h.planner.SetServer(t.Context(), e.registration()))
			}
		}
		leaving := h.enginesWithM3()[0]
		is.NoErr(h.planner.SetServer(t.Context(), h.leavingRegistration(leaving, 4*time.Second)))
		only := h.onlyOn(leaving)
		is.True(len(only) > 0)
		for range 10 {
			h.reportDemand(demand)
			h.step(200 * time.Millisecond)
			for _, e := range h.fleet.fakes {
				if e.id != leaving {
					is.NoErr(h.planner.SetServer(t.Context(), e.registration()))
				}
			}
		}
		for _, name := range only {
			if demand[name] > 0 {
				is.True(h.heldElsewhere(name, leaving)) // seconds before the engine ends
			}
		}
	}
}

// onlyOn returns the models that no other engine holds.
func (h *harness) onlyOn(id galenastair.BackendServerID) (names []galenastair.ModelName) {
	for name := range h.fleet.fakes[string(id)].models {
		if !h.heldElsewhere(name, id) {
			names = append(names, name)
		}
	}
	return names
}

func (h *harness) heldElsewhere(name galenastair.ModelName, than galenastair.BackendServerID) bool {
	for _, e := range h.fleet.fakes {
		if _, holds := e.models[name]; holds && e.id != than {
			return true
		}
	}
	return false
}
