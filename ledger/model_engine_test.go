package ledger

import (
	"maps"
	"slices"

	"galenastair"
)

func (e *simEngine) apply(o galenastair.Order) {
	if e.checksFence && o.Fence < e.fence {
		return
	}
	e.fence = max(e.fence, o.Fence)
	if o.Kind == galenastair.LoadModel {
		e.loaded[o.Weight.Name] = galenastair.LoadedWeights{Weight: o.Weight, State: galenastair.LoadStateReady, Order: o.ID}
		return
	}
	if l, ok := e.loaded[o.Weight.Name]; ok {
		l.State = galenastair.LoadStateUnloading
		e.loaded[o.Weight.Name] = l
	}
}

// finishUnloads completes all unloads in progress; they take memory until then.
func (sim *simulation) finishUnloads() {
	for _, e := range sim.engines {
		for name, l := range e.loaded {
			if l.State == galenastair.LoadStateUnloading {
				delete(e.loaded, name)
			}
		}
	}
}

// saveReport keeps the current report of an engine, and the 39 before it.
func (sim *simulation) saveReport(e *simEngine) {
	r := galenastair.EngineReport{
		BackendServer: e.id, MemoryTotal: simMemory, HighestFence: e.fence, ChecksFence: e.checksFence,
	}
	for _, name := range slices.Sorted(maps.Keys(e.loaded)) {
		r.Loaded = append(r.Loaded, e.loaded[name])
	}
	e.reports = append(e.reports, timedReport{sim.now, r})
	if len(e.reports) > 40 {
		e.reports = e.reports[1:]
	}
}

func (sim *simulation) checkMemory() {
	sim.t.Helper()
	for _, e := range sim.engines {
		var sum galenastair.Bytes
		for _, l := range e.loaded {
			sum += l.Weight.Memory
		}
		if sum >= simMemory-1 {
			sim.fullSteps++
		}
		if sum > simMemory {
			sim.t.Fatalf("seed %d: %s holds %d of %d: %v", sim.seed, e.id, sum, simMemory, e.loaded)
		}
	}
}
