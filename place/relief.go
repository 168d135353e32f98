package place

import (
	"cmp"
	"slices"
)

// relieve adds a copy of a model on the busiest backend server elsewhere, if that
// takes enough load off it.
//
// It is made for demand that moves between models: their callers wait at one backend
// server while others idle. It does nothing below Busy, nor below Uneven times what a
// backend server has on the whole, for gains below Gain, and for a model that was moved
// within Calm: each move takes a turn at the weight store and cools caches, and the demand
// may be back before it has paid off. Where all are as busy, a move helps nobody.
func (p *Planner) relieve() {
	for range max(1, p.settings.ReliefsARound, len(p.board.servers)/serversARelief) {
		if !p.relieveOne() {
			return
		}
	}
}

func (p *Planner) relieveOne() bool {
	order := slices.Clone(p.board.servers)
	slices.SortStableFunc(order, func(x, y *boardServer) int { return cmp.Compare(y.load, x.load) })
	least := max(p.settings.Busy*p.settings.ServerWork, p.settings.Uneven*p.board.mean())
	for _, hot := range order {
		if hot.load < least {
			return false
		}
		if hot.stays() && p.relieveServer(hot, order) {
			p.board.spread()
			return true
		}
	}
	return false
}

func (p *Planner) relieveServer(hot *boardServer, order []*boardServer) bool {
	var models []*boardModel
	for _, m := range hot.models {
		c := m.on(hot)
		if c == nil || c.share < p.settings.Gain*hot.load || !p.mayGrow(m) {
			continue
		}
		models = append(models, m)
	}
	slices.SortStableFunc(models, func(x, y *boardModel) int {
		return cmp.Compare(y.on(hot).share, x.on(hot).share)
	})
	for _, m := range models {
		if p.copyTo(m, hot, order) {
			p.noteMove(m)
			return true
		}
	}
	return false
}

const (
	// serversARelief is for how many backend servers a round may add a copy.
	serversARelief = 24
	// missingAtOnce is for how many missing copies one is added at once.
	missingAtOnce = 2
)

// mayGrow says whether one more copy of a model may be added for load: one in the time of
// Calm, or several where many are missing and a few more are a small part of all backend
// servers. It is made for a model whose callers become some tens of times as many among
// hundreds of backend servers.
func (p *Planner) mayGrow(m *boardModel) bool {
	atOnce := min(p.missing(m)/missingAtOnce, len(p.board.servers)/serversARelief)
	if atOnce <= 1 {
		made, ok := p.moved[m.weight.Name]
		return !p.wanted(m) && (!ok || p.now.Sub(made.at) >= p.settings.Calm)
	}
	made := p.moved[m.weight.Name]
	return made.n < atOnce || p.now.Sub(made.at) >= p.settings.Calm
}

// missing is how many copies a model lacks to load each no more than backend servers are on
// the whole, besides those that are being made room for.
func (p *Planner) missing(m *boardModel) int {
	each := max(p.settings.Busy*p.settings.ServerWork, p.board.mean())
	if each <= 0 {
		return 0
	}
	missing := int(m.demand()/each) - m.lasting()
	for _, s := range p.swaps {
		if s.want == m.weight.Name {
			missing--
		}
	}
	return missing
}

func (p *Planner) noteMove(m *boardModel) {
	made := p.moved[m.weight.Name]
	if p.now.Sub(made.at) >= p.settings.Calm {
		made = moves{at: p.now}
	}
	made.n++
	p.moved[m.weight.Name] = made
}

// copyTo loads a model on the least loaded backend server that gains enough, one that
// has it at hand before the others.
func (p *Planner) copyTo(m *boardModel, hot *boardServer, order []*boardServer) bool {
	return p.copyAmong(m, hot, order, true) || p.copyAmong(m, hot, order, false)
}

func (p *Planner) copyAmong(m *boardModel, hot *boardServer, order []*boardServer, atHand bool) bool {
	for i := len(order) - 1; i >= 0; i-- {
		s := order[i]
		if s.AtHand[m.weight.Name] != atHand || !p.mayLoadOn(m, s) {
			continue
		}
		// the load that evens the two out, or all there is of the model
		taken := min(m.on(hot).share, (hot.load-s.load)/2)
		if taken < p.settings.Gain*hot.load {
			return false
		}
		if !s.takes() || s.swap || m.on(s) != nil {
			continue
		}
		if s.Free >= m.need(s) {
			p.load(m, s, Relief)
			return true
		}
		evict, lost, ok := p.evictable(s, m, Relief)
		// what goes is served by its other copies, which must not become the next
		// busiest; so a copy that is used as much as the new one stays
		if ok && lost < taken/2 {
			p.begin(m, s, evict, Relief)
			return true
		}
	}
	return false
}
