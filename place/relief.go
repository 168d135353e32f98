package place

import (
	"cmp"
	"slices"
)

// rebalance adds copies of models on the busiest backend servers to less loaded ones.
//
// It handles demand that shifts between models, when callers queue at one backend server
// while others are idle. A move is skipped if the load is below RebalanceThreshold or below
// ImbalanceThreshold times the mean, if it would take off less than the fraction MinGain of the
// load, or if the model was moved within MoveCooldown. A move uses the weight store and starts
// with a cold cache, and demand may shift back before it has paid off. It gains nothing if all
// backend servers are equally busy.
func (p *Planner) rebalance() {
	for range max(1, p.settings.MovesPerRound, len(p.plan.servers)/serversPerMove) {
		if !p.rebalanceOnce() {
			return
		}
	}
}

func (p *Planner) rebalanceOnce() bool {
	order := slices.Clone(p.plan.servers)
	slices.SortStableFunc(order, func(x, y *planServer) int { return cmp.Compare(y.load, x.load) })
	threshold := max(p.settings.RebalanceThreshold*p.settings.ServerCapacity, p.settings.ImbalanceThreshold*p.plan.meanLoad())
	for _, hot := range order {
		if hot.load < threshold {
			return false
		}
		if hot.inService() && p.offload(hot, order) {
			p.plan.distributeLoad()
			return true
		}
	}
	return false
}

// offload adds a copy of one of the models on hot to another backend server. It tries those with the
// largest share of hot's load first.
func (p *Planner) offload(hot *planServer, order []*planServer) bool {
	var models []*planModel
	for _, m := range hot.models {
		c := m.copyOn(hot)
		if c == nil || c.share < p.settings.MinGain*hot.load || !p.canAddCopy(m) {
			continue
		}
		models = append(models, m)
	}
	slices.SortStableFunc(models, func(x, y *planModel) int {
		return cmp.Compare(y.copyOn(hot).share, x.copyOn(hot).share)
	})
	for _, m := range models {
		if p.replicate(m, hot, order) {
			p.recordMove(m)
			return true
		}
	}
	return false
}

const (
	// serversPerMove is the number of backend servers for each move that a round may make.
	serversPerMove = 24
	// missingPerMove is the number of missing copies for each copy that may be added within
	// one MoveCooldown.
	missingPerMove = 2
)

// canAddCopy reports whether another copy of a model may be added for load. One is allowed per
// MoveCooldown, or several if many are missing and the fleet is large. The latter handles a
// model whose demand grows tens of times over among hundreds of backend servers.
func (p *Planner) canAddCopy(m *planModel) bool {
	limit := min(p.missingCopies(m)/missingPerMove, len(p.plan.servers)/serversPerMove)
	if limit <= 1 {
		moves, ok := p.recentMoves[m.weight.Name]
		return !p.hasSwap(m) && (!ok || p.now.Sub(moves.since) >= p.settings.MoveCooldown)
	}
	moves := p.recentMoves[m.weight.Name]
	return moves.count < limit || p.now.Sub(moves.since) >= p.settings.MoveCooldown
}

// missingCopies returns how many copies a model lacks for the load of each to stay at the fleet's
// mean or RebalanceThreshold, whichever is higher. Swaps in progress count as copies.
func (p *Planner) missingCopies(m *planModel) int {
	target := max(p.settings.RebalanceThreshold*p.settings.ServerCapacity, p.plan.meanLoad())
	if target <= 0 {
		return 0
	}
	missing := int(m.demand()/target) - m.activeCopies()
	for _, s := range p.swaps {
		if s.model == m.weight.Name {
			missing--
		}
	}
	return missing
}

func (p *Planner) recordMove(m *planModel) {
	moves := p.recentMoves[m.weight.Name]
	if p.now.Sub(moves.since) >= p.settings.MoveCooldown {
		moves = moveCount{since: p.now}
	}
	moves.count++
	p.recentMoves[m.weight.Name] = moves
}

// replicate loads a copy of a model of hot on the least loaded backend server for which the gain
// suffices, preferring those that have the model cached.
func (p *Planner) replicate(m *planModel, hot *planServer, order []*planServer) bool {
	return p.replicateAmong(m, hot, order, true) || p.replicateAmong(m, hot, order, false)
}

// replicateAmong is replicate for the backend servers that have the model cached, or for the others.
func (p *Planner) replicateAmong(m *planModel, hot *planServer, order []*planServer, cached bool) bool {
	for i := len(order) - 1; i >= 0; i-- {
		s := order[i]
		if s.CachedModels[m.weight.Name] != cached || !p.canLoadOn(m, s) {
			continue
		}
		// the load that equalises the two servers, at most the model's whole share
		taken := min(m.copyOn(hot).share, (hot.load-s.load)/2)
		if taken < p.settings.MinGain*hot.load {
			return false
		}
		if !s.acceptsOrders() || s.swapping || m.copyOn(s) != nil {
			continue
		}
		if s.FreeMemory >= m.missingMemory(s) {
			p.load(m, s, Relief)
			return true
		}
		victims, lost, ok := p.selectVictims(s, m, Relief)
		// The load of evicted copies shifts to other copies of their models, which must
		// not become the busiest next, so it has to be less than half the gain.
		if ok && lost < taken/2 {
			p.startSwap(m, s, victims, Relief)
			return true
		}
	}
	return false
}
