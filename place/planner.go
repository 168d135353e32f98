package place

import (
	"cmp"
	"slices"
	"time"

	"galenastair"
)

// Planner decides on loads and unloads; between rounds it remembers what it moved.
type Planner struct {
	settings Settings
	added    map[copyKey]time.Time
	moved    map[galenastair.ModelName]moves
	swaps    map[galenastair.BackendServerID]*swap
	tokens   float64
	paced    time.Time

	// the round that is being planned
	now   time.Time
	board *board
	// drops says that a backend server is so busy, and memory so scarce, that only copies may go.
	drops bool
	steps []Step
	loads int
	small int
}

type copyKey struct {
	server galenastair.BackendServerID
	model  galenastair.ModelName
}

// moves is how many copies of a model were added for load since a moment.
type moves struct {
	at time.Time
	n  int
}

// NewPlanner returns a planner that has moved nothing yet.
func NewPlanner(s Settings) *Planner {
	return &Planner{
		settings: s,
		added:    map[copyKey]time.Time{},
		moved:    map[galenastair.ModelName]moves{},
		swaps:    map[galenastair.BackendServerID]*swap{},
	}
}

// Plan returns what to load and unload now, most needed first.
//
// It is made for many bursty models on fewer accelerators whose demand moves: every
// model has a copy before any has a second one, copies follow the foretold work, and
// what moves is paced to the weight store, since beyond its limit every load gets
// slower, also the one that makes a model reachable.
func (p *Planner) Plan(in Input) []Step {
	p.now, p.board, p.steps = in.Now, newBoard(in), nil
	p.pace()
	p.loads = p.settings.LoadsInFlight - p.board.coming(false)
	p.small = p.settings.AdaptersInFlight - p.board.coming(true)
	p.drops = p.settings.DropUnasked > 0 && p.board.busiest() >= p.settings.DropUnasked*p.settings.ServerWork && p.board.scarce()
	p.continueSwaps()
	p.reachModels(true)
	p.reachAdapters()
	p.relieve()
	p.reachModels(false)
	p.spares()
	p.dropOldVersions(in)
	p.forget()
	return p.steps
}

// pace refills what the weight store may start; unused seconds are not saved up.
func (p *Planner) pace() {
	if !p.paced.IsZero() {
		p.tokens += p.now.Sub(p.paced).Seconds() * p.settings.LoadsPerSecond
	} else {
		p.tokens = 1
	}
	p.tokens = min(p.tokens, max(1, p.settings.LoadsPerSecond))
	p.paced = p.now
}

// mayLoad says whether the weight store stands one more model load now.
func (p *Planner) mayLoad() bool { return p.loads > 0 && p.tokens >= 1 }

// mayLoadOn says the same of a load on one backend server, which may have the model at
// hand.
func (p *Planner) mayLoadOn(m *boardModel, s *boardServer) bool {
	return s.AtHand[m.weight.Name] || p.mayLoad()
}

func (p *Planner) load(m *boardModel, s *boardServer, why Reason) {
	switch {
	case m.weight.Base != "":
		p.small--
	case !s.AtHand[m.weight.Name]:
		p.loads--
		p.tokens--
	}
	s.Free -= m.weight.Memory
	m.add(&boardCopy{server: s, state: Coming})
	p.added[copyKey{s.ID, m.weight.Name}] = p.now
	p.steps = append(p.steps, Step{galenastair.LoadModel, s.ID, m.weight, why})
}

func (p *Planner) unload(m *boardModel, c *boardCopy, why Reason) {
	c.state = Going
	p.steps = append(p.steps, Step{galenastair.UnloadModel, c.server.ID, m.weight, why})
}

// asked tells the models that callers ask for from the rest.
func (p *Planner) asked(m *boardModel) bool {
	return m.demand() > 0 && m.demand() >= p.settings.AskedWork
}

// reachModels gives every model that is asked for, or every other, a first copy that
// will stay: also those whose only backend server leaves, and those whose adapters can be
// loaded beside none of their copies. Those that nobody asks for come after the relief of busy
// ones: callers wait there now.
func (p *Planner) reachModels(asked bool) {
	var need []*boardModel
	for _, m := range p.board.base {
		if (m.lasting() == 0 || m.hasStrandedAdapter()) && !p.wanted(m) && p.asked(m) == asked {
			need = append(need, m)
		}
	}
	slices.SortStableFunc(need, func(x, y *boardModel) int {
		return cmp.Or(cmp.Compare(y.demand(), x.demand()), cmp.Compare(y.bundle(), x.bundle()))
	})
	for _, m := range need {
		if s := p.roomFor(m); s != nil {
			p.load(m, s, Unreachable)
			p.board.spread()
			continue
		}
		if (asked || p.settings.DropUnasked == 0) && !p.roomOpens(m) {
			p.swapFor(m, Unreachable)
		}
	}
}

// roomOpens says whether a backend server with room for a model will take orders soon.
func (p *Planner) roomOpens(m *boardModel) bool {
	return slices.ContainsFunc(p.board.servers, func(s *boardServer) bool {
		return s.Opening && s.stays() && s.Free >= m.need(s)
	})
}

// roomFor returns the backend server with room for a model and its adapters that
// has least load, and of equally loaded ones that with most memory left.
func (p *Planner) roomFor(m *boardModel) *boardServer {
	var best *boardServer
	for _, s := range p.board.servers {
		if !s.takes() || s.swap || s.Free < m.need(s) || m.on(s) != nil || !p.mayLoadOn(m, s) {
			continue
		}
		if best == nil || cmp.Or(atHand(m, best, s), cmp.Compare(s.load, best.load), cmp.Compare(best.Free, s.Free)) < 0 {
			best = s
		}
	}
	return best
}

// atHand orders a backend server that has the model at hand first.
func atHand(m *boardModel, than, s *boardServer) int {
	rank := map[bool]int{true: 0, false: 1}
	return cmp.Compare(rank[s.AtHand[m.weight.Name]], rank[than.AtHand[m.weight.Name]])
}

// reachAdapters loads adapters beside every copy of their base, those without any
// copy first: the routers can then use each copy of the base for them.
func (p *Planner) reachAdapters() {
	for _, first := range []bool{true, false} {
		for _, a := range p.board.models {
			if a.base != nil && (a.lasting() == 0) == first {
				p.packAdapter(a, first)
			}
		}
	}
}

func (p *Planner) packAdapter(a *boardModel, first bool) {
	for _, c := range a.base.copies {
		s := c.server
		if c.state != Ready || !s.takes() || s.swap || a.on(s) != nil || s.Free < a.weight.Memory {
			continue
		}
		if p.small <= 0 {
			return
		}
		why := Adapter
		if first {
			why = Unreachable
		}
		p.load(a, s, why)
	}
}

// spares fills memory that is left with second copies, one a round and only when
// nothing else is loading: they must not delay what callers wait for. A model with
// two copies stays reachable when a backend server dies or leaves.
func (p *Planner) spares() {
	if !p.settings.Spares || !p.mayLoad() || p.loads < p.settings.LoadsInFlight {
		return
	}
	var best *boardModel
	for _, m := range p.board.base {
		if m.lasting() != 1 || p.wanted(m) || p.spareFor(m) == nil {
			continue
		}
		if best == nil || m.demand() > best.demand() {
			best = m
		}
	}
	if best != nil {
		p.load(best, p.spareFor(best), Spare)
	}
}

// spareFor returns where a second copy fits, in another availability zone if possible.
func (p *Planner) spareFor(m *boardModel) *boardServer {
	var best *boardServer
	for _, s := range p.board.servers {
		if !s.takes() || s.swap || s.Free < m.need(s) || m.on(s) != nil {
			continue
		}
		if best == nil || p.sameZone(m, s) < p.sameZone(m, best) ||
			p.sameZone(m, s) == p.sameZone(m, best) && s.load < best.load {
			best = s
		}
	}
	return best
}

func (p *Planner) sameZone(m *boardModel, s *boardServer) int {
	n := 0
	for _, c := range m.copies {
		if c.lasting() && c.server.AvailabilityZone == s.AvailabilityZone {
			n++
		}
	}
	return n
}

// dropOldVersions unloads what the catalogue no longer names in that version, once
// the new version answers.
func (p *Planner) dropOldVersions(in Input) {
	for _, s := range in.Servers {
		if s.Closed {
			continue
		}
		for _, c := range s.Copies {
			m := p.board.byName[c.Weight.Name]
			if m == nil || m.weight.Version == c.Weight.Version || c.State != Ready || !m.readyBeside(nil) {
				continue
			}
			p.steps = append(p.steps, Step{galenastair.UnloadModel, s.ID, c.Weight, OldVersion})
		}
	}
}

// forget drops what no longer bears on a decision.
func (p *Planner) forget() {
	for k, at := range p.added {
		if p.now.Sub(at) > p.settings.Stay {
			delete(p.added, k)
		}
	}
	for m, made := range p.moved {
		if p.now.Sub(made.at) > p.settings.Calm {
			delete(p.moved, m)
		}
	}
}
