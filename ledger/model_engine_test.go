package ledger

import (
	"maps"
	"slices"

	"galenastair"
)

func (e *modelEngine) act(o galenastair.Order) {
	if e.checks && o.Fence < e.fence {
		return
	}
	e.fence = max(e.fence, o.Fence)
	if o.Kind == galenastair.LoadModel {
		e.loaded[o.Weight.Name] = galenastair.LoadedWeight{Weight: o.Weight, State: galenastair.Ready, Order: o.ID}
		return
	}
	if l, ok := e.loaded[o.Weight.Name]; ok {
		l.State = galenastair.Unloading
		e.loaded[o.Weight.Name] = l
	}
}

// unloaded lets engines finish what they unload; the memory is taken until then.
func (w *world) unloaded() {
	for _, e := range w.engines {
		for name, l := range e.loaded {
			if l.State == galenastair.Unloading {
				delete(e.loaded, name)
			}
		}
	}
}

// keep notes what an engine would report now.
func (w *world) keep(e *modelEngine) {
	r := galenastair.EngineReport{
		BackendServer: e.id, MemoryTotal: modelTotal, HighestFence: e.fence, ChecksFence: e.checks,
	}
	for _, name := range slices.Sorted(maps.Keys(e.loaded)) {
		r.Loaded = append(r.Loaded, e.loaded[name])
	}
	e.past = append(e.past, pastReport{w.now, r})
	if len(e.past) > 40 {
		e.past = e.past[1:]
	}
}

func (w *world) check() {
	w.t.Helper()
	for _, e := range w.engines {
		var sum galenastair.Bytes
		for _, l := range e.loaded {
			sum += l.Weight.Memory
		}
		if sum >= modelTotal-1 {
			w.full++
		}
		if sum > modelTotal {
			w.t.Fatalf("seed %d: %s holds %d of %d: %v", w.seed, e.id, sum, modelTotal, e.loaded)
		}
	}
}
