package planner

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"galenastair"
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

// Guards against a model that is unreachable once an engine with its only copy has ended as announced:
// within three rounds another copy has been ordered, although the engines' memory is full and the copies
// that make room for it have been loaded just before. These engines load at once.
func TestCopiesOfAnEngineThatEndsAreLoadedElsewhereAtOnce(t *testing.T) {
	demand := map[galenastair.ModelName]time.Duration{"m0": tokens(9000), "m3": tokens(500), "m4": tokens(500), "m5": tokens(500)}
	lost := 0
	for seed := range uint64(8) {
		is := is.New(t)
		h := newHarness(t, seed, 4)
		h.addEngine("spare")
		h.runRounds(15, demand)
		leaving, only := h.engineWithOnlyCopies(demand)
		lost += len(only)
		if len(only) == 0 {
			continue
		}
		h.leaving = map[galenastair.BackendServerID]time.Time{leaving: h.fleet.clock.now.Add(4 * time.Second)}
		h.runRounds(3, demand)
		for _, name := range only {
			is.True(h.heldElsewhere(name, leaving))
		}
	}
	if lost < 4 {
		t.Fatalf("only %d copies were lost", lost)
	}
}

// runRounds reports demand, registers all engines and plans, some times.
func (h *harness) runRounds(n int, demand map[galenastair.ModelName]time.Duration) {
	h.t.Helper()
	for range n {
		for _, e := range h.fleet.fakes {
			s := e.registration()
			if end, leaves := h.leaving[e.id]; leaves {
				s.Leaving, s.GoneAt = true, end
			}
			if err := h.planner.SetServer(h.t.Context(), s); err != nil {
				h.t.Fatal(err)
			}
		}
		h.reportDemand(demand)
		h.step(200 * time.Millisecond)
	}
}

// engineWithOnlyCopies returns the engine with the most models in demand that no other engine holds.
func (h *harness) engineWithOnlyCopies(demand map[galenastair.ModelName]time.Duration) (id galenastair.BackendServerID, only []galenastair.ModelName) {
	for _, e := range h.fleet.fakes {
		names := slices.DeleteFunc(h.onlyOn(e.id), func(name galenastair.ModelName) bool { return demand[name] == 0 })
		if len(names) > len(only) {
			id, only = e.id, names
		}
	}
	return id, only
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
