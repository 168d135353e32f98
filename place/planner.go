package place

import (
	"cmp"
	"slices"
	"time"

	"galenastair"
)

// Planner decides which models and adapters to load and unload. Between rounds it keeps the
// copies that it added recently and the swaps in progress.
type Planner struct {
	settings        Settings
	addedAt         map[copyKey]time.Time
	recentMoves     map[galenastair.ModelName]moveCount
	swaps           map[galenastair.BackendServerID]*swap
	loadTokens      float64
	tokensUpdatedAt time.Time

	// state of the round in progress
	now  time.Time
	plan *planState
	// evictIdle is set if a backend server is so busy and memory so scarce that the only copy
	// of a model without demand may be evicted.
	evictIdle    bool
	steps        []Step
	loadSlots    int
	adapterSlots int
}

type copyKey struct {
	server galenastair.BackendServerID
	model  galenastair.ModelName
}

// moveCount is the number of copies of a model that were added for load since a time.
type moveCount struct {
	since time.Time
	count int
}

// NewPlanner returns a planner without history.
func NewPlanner(s Settings) *Planner {
	return &Planner{
		settings:    s,
		addedAt:     map[copyKey]time.Time{},
		recentMoves: map[galenastair.ModelName]moveCount{},
		swaps:       map[galenastair.BackendServerID]*swap{},
	}
}

// Plan returns the loads and unloads to carry out now, most urgent first.
//
// It is designed for many models with bursty, shifting demand on fewer accelerators. Every
// model gets a copy before any gets a second one, and further copies follow the forecast work.
// Loads are limited to the rate of the weight store: above it every load slows down,
// including one that makes a model reachable.
func (p *Planner) Plan(in Input) []Step {
	p.now, p.plan, p.steps = in.Now, newPlanState(in), nil
	p.refillTokens()
	p.loadSlots = p.settings.LoadsInFlight - p.plan.countLoading(false)
	p.adapterSlots = p.settings.AdaptersInFlight - p.plan.countLoading(true)
	p.evictIdle = p.settings.IdleEvictionThreshold > 0 && p.plan.maxLoad() >= p.settings.IdleEvictionThreshold*p.settings.ServerCapacity && p.plan.memoryScarce()
	p.continueSwaps()
	p.placeMissingModels(true)
	p.placeAdapters()
	p.rebalance()
	p.placeMissingModels(false)
	p.addSpareCopies()
	p.unloadOldVersions(in)
	p.pruneHistory()
	return p.steps
}

// refillTokens refills the token bucket of model loads from the weight store. It holds at most
// one second's worth, or one load.
func (p *Planner) refillTokens() {
	if !p.tokensUpdatedAt.IsZero() {
		p.loadTokens += p.now.Sub(p.tokensUpdatedAt).Seconds() * p.settings.LoadsPerSecond
	} else {
		p.loadTokens = 1
	}
	p.loadTokens = min(p.loadTokens, max(1, p.settings.LoadsPerSecond))
	p.tokensUpdatedAt = p.now
}

// canLoad reports whether the limits of the weight store allow one more model load now.
func (p *Planner) canLoad() bool { return p.loadSlots > 0 && p.loadTokens >= 1 }

// canLoadOn is canLoad for one backend server. A model that is cached there may always be
// loaded, since that does not use the weight store.
func (p *Planner) canLoadOn(m *planModel, s *planServer) bool {
	return s.CachedModels[m.weight.Name] || p.canLoad()
}

func (p *Planner) load(m *planModel, s *planServer, why Reason) {
	switch {
	case m.weight.Base != "":
		p.adapterSlots--
	case !s.CachedModels[m.weight.Name]:
		p.loadSlots--
		p.loadTokens--
	}
	s.FreeMemory -= m.weight.Memory
	m.addCopy(&planCopy{server: s, state: Loading})
	p.addedAt[copyKey{s.ID, m.weight.Name}] = p.now
	p.steps = append(p.steps, Step{galenastair.LoadModel, s.ID, m.weight, why})
}

func (p *Planner) unload(m *planModel, c *planCopy, why Reason) {
	c.state = Unloading
	p.steps = append(p.steps, Step{galenastair.UnloadModel, c.server.ID, m.weight, why})
}

// inDemand reports whether a model's demand reaches Settings.MinDemand.
func (p *Planner) inDemand(m *planModel) bool {
	return m.demand() > 0 && m.demand() >= p.settings.MinDemand
}

// placeMissingModels loads a copy of each model that has no active one, or none beside which its
// adapters can be loaded. A copy on a backend server that leaves is not active. inDemand selects
// the models with demand or those without; Plan places the latter after rebalance, because
// callers are waiting for the busy models now.
func (p *Planner) placeMissingModels(inDemand bool) {
	var missing []*planModel
	for _, m := range p.plan.baseModels {
		if (m.activeCopies() == 0 || m.hasUnplaceableAdapter()) && (m.ending() || !p.hasSwap(m)) && p.inDemand(m) == inDemand {
			missing = append(missing, m)
		}
	}
	slices.SortStableFunc(missing, func(x, y *planModel) int {
		return cmp.Or(cmp.Compare(y.demand(), x.demand()), cmp.Compare(y.memoryWithAdapters(), x.memoryWithAdapters()))
	})
	for _, m := range missing {
		if s := p.serverWithRoom(m); s != nil {
			p.dropSwaps(m)
			p.load(m, s, Unreachable)
			p.plan.distributeLoad()
			continue
		}
		if p.hasSwap(m) {
			continue
		}
		if (inDemand || p.settings.IdleEvictionThreshold == 0) && !p.roomExpected(m) {
			p.startCheapestSwap(m, Unreachable)
		}
	}
}

// roomExpected reports whether a backend server with room for a model will soon accept orders.
func (p *Planner) roomExpected(m *planModel) bool {
	return slices.ContainsFunc(p.plan.servers, func(s *planServer) bool {
		return s.SchedulableSoon && s.inService() && s.FreeMemory >= m.missingMemory(s)
	})
}

// serverWithRoom returns a backend server with room for a model and its adapters, or nil. It
// prefers those that have the model cached, then the least load, then the most free memory; for a model
// of an ending server, before that those that load or unload nothing.
func (p *Planner) serverWithRoom(m *planModel) *planServer {
	var best *planServer
	for _, s := range p.plan.servers {
		if !s.acceptsOrders() || s.swapping || s.FreeMemory < m.missingMemory(s) || m.copyOn(s) != nil || !p.canLoadOn(m, s) {
			continue
		}
		if best == nil || cmp.Or(compareBusy(m, best, s), compareCached(m, best, s), cmp.Compare(s.load, best.load), cmp.Compare(best.FreeMemory, s.FreeMemory)) < 0 {
			best = s
		}
	}
	return best
}

// compareBusy compares s with other and orders a backend server first that loads or unloads nothing: an
// engine carries out one order after the other, and the model's copy on an ending server is soon gone.
// Other models are placed as if all engines were idle.
func compareBusy(m *planModel, other, s *planServer) int {
	if !m.ending() {
		return 0
	}
	rank := map[bool]int{false: 0, true: 1}
	return cmp.Compare(rank[s.inTransition()], rank[other.inTransition()])
}

// compareCached compares s with other and orders a backend server that has the model cached first.
func compareCached(m *planModel, other, s *planServer) int {
	rank := map[bool]int{true: 0, false: 1}
	return cmp.Compare(rank[s.CachedModels[m.weight.Name]], rank[other.CachedModels[m.weight.Name]])
}

// placeAdapters loads adapters beside every ready copy of their base, so that routers can use
// each of them. Adapters without an active copy go first.
func (p *Planner) placeAdapters() {
	for _, first := range []bool{true, false} {
		for _, a := range p.plan.models {
			if a.base != nil && (a.activeCopies() == 0) == first {
				p.placeAdapter(a, first)
			}
		}
	}
}

func (p *Planner) placeAdapter(a *planModel, first bool) {
	for _, c := range a.base.copies {
		s := c.server
		if c.state != Ready || !s.acceptsOrders() || s.swapping || a.copyOn(s) != nil || s.FreeMemory < a.weight.Memory {
			continue
		}
		if p.adapterSlots <= 0 {
			return
		}
		why := Adapter
		if first {
			why = Unreachable
		}
		p.load(a, s, why)
	}
}

// addSpareCopies loads a second copy of a model into free memory, at most one per round and only
// while no other model is loading, so that it never delays a load that callers wait for. A model
// with two copies stays reachable when a backend server fails or leaves.
func (p *Planner) addSpareCopies() {
	if !p.settings.SpareCopies || !p.canLoad() || p.loadSlots < p.settings.LoadsInFlight {
		return
	}
	var best *planModel
	for _, m := range p.plan.baseModels {
		if m.activeCopies() != 1 || p.hasSwap(m) || p.spareServer(m) == nil {
			continue
		}
		if best == nil || m.demand() > best.demand() {
			best = m
		}
	}
	if best != nil {
		p.load(best, p.spareServer(best), Spare)
	}
}

// spareServer returns the backend server for a second copy, in another availability zone if
// possible, or nil if none has room.
func (p *Planner) spareServer(m *planModel) *planServer {
	var best *planServer
	for _, s := range p.plan.servers {
		if !s.acceptsOrders() || s.swapping || s.FreeMemory < m.missingMemory(s) || m.copyOn(s) != nil {
			continue
		}
		if best == nil || p.copiesInZone(m, s) < p.copiesInZone(m, best) ||
			p.copiesInZone(m, s) == p.copiesInZone(m, best) && s.load < best.load {
			best = s
		}
	}
	return best
}

func (p *Planner) copiesInZone(m *planModel, s *planServer) int {
	n := 0
	for _, c := range m.copies {
		if c.active() && c.server.AvailabilityZone == s.AvailabilityZone {
			n++
		}
	}
	return n
}

// unloadOldVersions unloads versions that the catalogue no longer lists once a copy of the new
// version is ready.
func (p *Planner) unloadOldVersions(in Input) {
	for _, s := range in.Servers {
		if s.Unschedulable {
			continue
		}
		for _, c := range s.Copies {
			m := p.plan.byName[c.Weight.Name]
			if m == nil || m.weight.Version == c.Weight.Version || c.State != Ready || !m.readyElsewhere(nil) {
				continue
			}
			p.steps = append(p.steps, Step{galenastair.UnloadModel, s.ID, c.Weight, OldVersion})
		}
	}
}

// pruneHistory drops added copies and moves that are too old to affect a decision.
func (p *Planner) pruneHistory() {
	for k, at := range p.addedAt {
		if p.now.Sub(at) > p.settings.MinCopyLifetime {
			delete(p.addedAt, k)
		}
	}
	for m, moves := range p.recentMoves {
		if p.now.Sub(moves.since) > p.settings.MoveCooldown {
			delete(p.recentMoves, m)
		}
	}
}
