package place

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"galenastair"
)

// swapTimeout is how long a swap may take before it is dropped. Two unloads and the reports
// that show them take a few seconds.
const swapTimeout = 30 * time.Second

// swap is a load that waits until copies of other models, its victims, are unloaded.
type swap struct {
	model     galenastair.ModelName
	victims   []galenastair.ModelName
	reason    Reason
	startedAt time.Time
}

// hasSwap reports whether a swap for a model is in progress.
func (p *Planner) hasSwap(m *planModel) bool {
	for _, s := range p.swaps {
		if s.model == m.weight.Name {
			return true
		}
	}
	return false
}

// dropSwaps ends the swaps for a model that is loaded elsewhere.
func (p *Planner) dropSwaps(m *planModel) {
	maps.DeleteFunc(p.swaps, func(_ galenastair.BackendServerID, s *swap) bool { return s.model == m.weight.Name })
}

// startCheapestSwap starts a swap for a model on the backend server where the load of the
// victims plus the load of the server is lowest, preferring those that have the model cached and, for a
// model of an ending server, before that those that load or unload nothing.
func (p *Planner) startCheapestSwap(m *planModel, why Reason) bool {
	var best *planServer
	var victims []*planModel
	var cost float64
	for _, s := range p.plan.servers {
		if !s.acceptsOrders() || s.swapping || m.copyOn(s) != nil {
			continue
		}
		models, lost, ok := p.selectVictims(s, m, why)
		if !ok || !p.canLoadOn(m, s) {
			continue
		}
		if best == nil || cmp.Or(compareBusy(m, best, s), compareCached(m, best, s), cmp.Compare(lost+s.load, cost)) < 0 {
			best, victims, cost = s, models, lost+s.load
		}
	}
	if best == nil {
		return false
	}
	p.startSwap(m, best, victims, why)
	return true
}

// selectVictims returns the models whose copies on s can be evicted to make room for m, least
// used first, the load of these copies, and whether they suffice. A copy without another ready
// one is selected only if canEvictOnlyCopy allows it.
func (p *Planner) selectVictims(s *planServer, m *planModel, why Reason) ([]*planModel, float64, bool) {
	var candidates []*planModel
	for _, other := range s.models {
		if p.canEvict(other, s, why) {
			candidates = append(candidates, other)
		}
	}
	slices.SortStableFunc(candidates, func(x, y *planModel) int {
		return cmp.Compare(x.copyOn(s).share, y.copyOn(s).share)
	})
	free, lost := s.FreeMemory, 0.0
	var victims []*planModel
	for _, other := range candidates {
		if free >= m.missingMemory(s) {
			break
		}
		victims = append(victims, other)
		lost += other.copyOn(s).share
		free += other.weight.Memory
		for _, a := range other.adapters {
			if a.copyOn(s) != nil {
				free += a.weight.Memory
			}
		}
	}
	return victims, lost, free >= m.missingMemory(s)
}

// canEvict reports whether a model's copy on s may be evicted. Another copy of the model, unless
// canEvictOnlyCopy allows otherwise, and of each of its adapters on s must be ready elsewhere.
func (p *Planner) canEvict(m *planModel, s *planServer, why Reason) bool {
	c := m.copyOn(s)
	if c == nil || c.state != Ready || !m.readyElsewhere(s) && !p.canEvictOnlyCopy(m, why) {
		return false
	}
	if why != Unreachable && p.now.Sub(p.addedAt[copyKey{s.ID, m.weight.Name}]) < p.settings.MinCopyLifetime {
		return false
	}
	for _, a := range m.adapters {
		if a.copyOn(s) != nil && !a.readyElsewhere(s) {
			return false
		}
	}
	return true
}

// canEvictOnlyCopy reports whether the only copy of a model may be evicted for a model in demand:
// IdleEvictionThreshold is set, and the model is not in demand and is cached on a backend server
// in service. To relieve a busy backend server, evictIdle must hold as well.
func (p *Planner) canEvictOnlyCopy(m *planModel, why Reason) bool {
	if p.settings.IdleEvictionThreshold == 0 || p.inDemand(m) || why == Relief && !p.evictIdle {
		return false
	}
	for _, s := range p.plan.servers {
		if s.inService() && s.CachedModels[m.weight.Name] {
			return true
		}
	}
	return false
}

func (p *Planner) startSwap(m *planModel, s *planServer, victims []*planModel, why Reason) {
	sw := &swap{model: m.weight.Name, reason: why, startedAt: p.now}
	for _, v := range victims {
		for _, a := range v.adapters {
			if a.copyOn(s) != nil {
				sw.victims = append(sw.victims, a.weight.Name)
			}
		}
		sw.victims = append(sw.victims, v.weight.Name)
	}
	p.swaps[s.ID] = sw
	p.advanceSwap(s, sw)
	p.plan.distributeLoad()
}

// continueSwaps continues the swaps of earlier rounds. It drops those on backend servers that
// are gone or accept no orders. Otherwise the model of such a swap would be loaded nowhere else
// until swapTimeout.
func (p *Planner) continueSwaps() {
	open := map[galenastair.BackendServerID]*swap{}
	for _, s := range p.plan.servers {
		sw := p.swaps[s.ID]
		if sw == nil || !s.acceptsOrders() || p.now.Sub(sw.startedAt) > swapTimeout {
			continue
		}
		open[s.ID] = sw
	}
	p.swaps = open
	for _, s := range p.plan.servers {
		if sw := open[s.ID]; sw != nil {
			p.advanceSwap(s, sw)
		}
	}
	p.plan.distributeLoad()
}

// advanceSwap unloads the victims of a swap and, once they are gone, loads its model. Adapters
// are unloaded before their base. Each victim is checked again, since its other copies may have
// failed since the swap began.
func (p *Planner) advanceSwap(s *planServer, sw *swap) {
	s.swapping = true
	m := p.plan.byName[sw.model]
	if m == nil || m.copyOn(s) != nil {
		delete(p.swaps, s.ID)
		return
	}
	remaining := false
	for _, name := range sw.victims {
		v := p.plan.byName[name]
		if v == nil || v.copyOn(s) == nil {
			continue
		}
		remaining = true
		c := v.copyOn(s)
		if c.state == Unloading || v.base == nil && anyCopyOn(v.adapters, s) {
			continue
		}
		if !v.readyElsewhere(s) && !p.canEvictOnlyCopy(v, sw.reason) {
			delete(p.swaps, s.ID)
			return
		}
		p.unload(v, c, MakeRoom)
	}
	if !remaining && s.FreeMemory >= m.weight.Memory && p.canLoadOn(m, s) {
		p.load(m, s, sw.reason)
		delete(p.swaps, s.ID)
	}
}

func anyCopyOn(ms []*planModel, s *planServer) bool {
	for _, m := range ms {
		if m.copyOn(s) != nil {
			return true
		}
	}
	return false
}
