package place

import (
	"cmp"
	"slices"
	"time"

	"galenastair"
)

// swapPatience is how long a swap may take before its memory is planned anew: two
// unloads and the reports that show them take a few seconds.
const swapPatience = 30 * time.Second

// swap is a load that waits until copies of other models have gone.
type swap struct {
	want   galenastair.ModelName
	evict  []galenastair.ModelName
	reason Reason
	begun  time.Time
}

// wanted says whether a swap already makes room for a model.
func (p *Planner) wanted(m *boardModel) bool {
	for _, s := range p.swaps {
		if s.want == m.weight.Name {
			return true
		}
	}
	return false
}

// swapFor starts a swap for a model where it costs least.
func (p *Planner) swapFor(m *boardModel, why Reason) bool {
	var best *boardServer
	var evict []*boardModel
	var cost float64
	for _, s := range p.board.servers {
		if !s.takes() || s.swap || m.on(s) != nil {
			continue
		}
		models, lost, ok := p.evictable(s, m, why)
		if !ok || !p.mayLoadOn(m, s) {
			continue
		}
		if best == nil || cmp.Or(atHand(m, best, s), cmp.Compare(lost+s.load, cost)) < 0 {
			best, evict, cost = s, models, lost+s.load
		}
	}
	if best == nil {
		return false
	}
	p.begin(m, best, evict, why)
	return true
}

// evictable picks the copies on s that can go to make room for m, least used first;
// never one without another ready copy beside it.
func (p *Planner) evictable(s *boardServer, m *boardModel, why Reason) ([]*boardModel, float64, bool) {
	var may []*boardModel
	for _, other := range s.models {
		if p.mayGo(other, s, why) {
			may = append(may, other)
		}
	}
	slices.SortStableFunc(may, func(x, y *boardModel) int {
		return cmp.Compare(x.on(s).share, y.on(s).share)
	})
	free, lost := s.Free, 0.0
	var out []*boardModel
	for _, other := range may {
		if free >= m.need(s) {
			break
		}
		out = append(out, other)
		lost += other.on(s).share
		free += other.weight.Memory
		for _, a := range other.adapters {
			if a.on(s) != nil {
				free += a.weight.Memory
			}
		}
	}
	return out, lost, free >= m.need(s)
}

// mayGo says whether a model's copy on s may go: another copy of it, and of each of
// its adapters there, must be ready elsewhere first.
func (p *Planner) mayGo(m *boardModel, s *boardServer, why Reason) bool {
	c := m.on(s)
	if c == nil || c.state != Ready || !m.readyBeside(s) && !p.mayDrop(m, why) {
		return false
	}
	if why != Unreachable && p.now.Sub(p.added[copyKey{s.ID, m.weight.Name}]) < p.settings.Stay {
		return false
	}
	for _, a := range m.adapters {
		if a.on(s) != nil && !a.readyBeside(s) {
			return false
		}
	}
	return true
}

// mayDrop says whether the only copy of a model may go for one that is asked for.
func (p *Planner) mayDrop(m *boardModel, why Reason) bool {
	if p.settings.DropUnasked == 0 || p.asked(m) || why == Relief && !p.drops {
		return false
	}
	for _, s := range p.board.servers {
		if s.stays() && s.AtHand[m.weight.Name] {
			return true
		}
	}
	return false
}

func (p *Planner) begin(m *boardModel, s *boardServer, evict []*boardModel, why Reason) {
	sw := &swap{want: m.weight.Name, reason: why, begun: p.now}
	for _, e := range evict {
		for _, a := range e.adapters {
			if a.on(s) != nil {
				sw.evict = append(sw.evict, a.weight.Name)
			}
		}
		sw.evict = append(sw.evict, e.weight.Name)
	}
	p.swaps[s.ID] = sw
	p.advance(s, sw)
	p.board.spread()
}

// continueSwaps goes on with the swaps of earlier rounds.
//
// Failure guarded against: a backend server ends while it makes room. Kept, its swap would
// go on wanting its model, which nobody else would then load, until its patience is over.
func (p *Planner) continueSwaps() {
	open := map[galenastair.BackendServerID]*swap{}
	for _, s := range p.board.servers {
		sw := p.swaps[s.ID]
		if sw == nil || !s.takes() || p.now.Sub(sw.begun) > swapPatience {
			continue
		}
		open[s.ID] = sw
	}
	p.swaps = open
	for _, s := range p.board.servers {
		if sw := open[s.ID]; sw != nil {
			p.advance(s, sw)
		}
	}
	p.board.spread()
}

// advance unloads the next copy of a swap, or loads what it was for. Adapters go
// before their base; each copy is checked again, as its twin may have died since.
func (p *Planner) advance(s *boardServer, sw *swap) {
	s.swap = true
	m := p.board.byName[sw.want]
	if m == nil || m.on(s) != nil {
		delete(p.swaps, s.ID)
		return
	}
	left := false
	for _, name := range sw.evict {
		e := p.board.byName[name]
		if e == nil || e.on(s) == nil {
			continue
		}
		left = true
		c := e.on(s)
		if c.state == Going || e.base == nil && anyOn(e.adapters, s) {
			continue
		}
		if !e.readyBeside(s) && !p.mayDrop(e, sw.reason) {
			delete(p.swaps, s.ID)
			return
		}
		p.unload(e, c, MakeRoom)
	}
	if !left && s.Free >= m.weight.Memory && p.mayLoadOn(m, s) {
		p.load(m, s, sw.reason)
		delete(p.swaps, s.ID)
	}
}

func anyOn(ms []*boardModel, s *boardServer) bool {
	for _, m := range ms {
		if m.on(s) != nil {
			return true
		}
	}
	return false
}
