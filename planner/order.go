package planner

import (
	"time"

	"galenastair"
)

// reportLag is how old an engine's report may be: "some hundred ms" by its page.
const reportLag = time.Second

// start gives each engine its next order.
func (p *Planner) start(now time.Time, s *site) {
	for _, e := range s.engines {
		p.startEngine(now, s, e)
	}
}

func (p *Planner) startEngine(now time.Time, s *site, e *engine) {
	if e.running || now.Before(e.rest) || len(e.tasks) == 0 && !e.unsure {
		return
	}
	if e.unsure {
		p.ask(s, e)
		return
	}
	fence, ok := p.lease.Order()
	if !ok {
		return
	}
	t := e.tasks[0]
	if !e.fits(s.contents, t) {
		p.logger.Log("event", "order dropped", "kind", t.kind, "name", t.name(), "server", e.server.ID, "reason", t.reason)
		p.drop(e, t)
		return
	}
	order := galenastair.EngineOrder{
		Kind:     t.kind,
		Model:    t.model,
		Adapter:  t.adapter,
		Sequence: e.sequence,
		Holder:   p.self,
		Fence:    fence,
		Expect:   e.server.ID,
	}
	e.running = true
	held := e.counts()
	// the engine's registration is the loop's: it may be written while the order is sent
	address := e.server.Address
	p.tasks.Go(func() { p.send(s, e, t, address, order, held) })
}

// send gives one order. The lease is checked once more right before: this process may
// have stood still since it was planned.
func (p *Planner) send(s *site, e *engine, t task, address string, o galenastair.EngineOrder, held string) {
	answer, err := galenastair.OrderWrong, ErrNotPlanner
	fence, ok := p.lease.Order()
	sent := ok && fence == o.Fence
	if sent {
		answer, err = p.control.Order(p.ctx, address, o)
	}
	p.logger.Log("event", "order", "kind", t.kind, "name", t.name(), "server", o.Expect, "reason", t.reason,
		"fence", int64(o.Fence), "sequence", o.Sequence, "held", held, "answer", outcome(answer, err), "err", err)
	p.ordered(t.kind, t.reason, outcome(answer, err))
	_ = p.loop.Post(p.ctx, func() {
		e.running = false
		p.ended(s, e, t, o, sent, answer, err)
	})
}

func outcome(a galenastair.OrderAnswer, err error) string {
	if err != nil {
		return "Unknown"
	}
	switch a {
	case galenastair.OrderAccepted:
		return "Accepted"
	case galenastair.OrderHeld:
		return "Held"
	case galenastair.OrderBusy:
		return "Busy"
	case galenastair.OrderFenced:
		return "Fenced"
	case galenastair.OrderGone:
		return "Gone"
	}
	return "Wrong"
}

// ended takes in the outcome of an order.
func (p *Planner) ended(s *site, e *engine, t task, o galenastair.EngineOrder, sent bool, a galenastair.OrderAnswer, err error) {
	now := p.clock.Now()
	switch {
	case !sent:
		p.drop(e, t)
		return
	case err != nil:
		// it may act seconds later, but not once another order was accepted; the
		// engine's state tells whether it has
		e.unsure, e.rest = true, now.Add(lostRest)
		e.lost, e.lostUntil = o.Sequence, now.Add(longestLate)
		return
	}
	switch a {
	case galenastair.OrderAccepted:
		e.accepted(now, t)
		p.finish(now, e, t)
	case galenastair.OrderHeld:
		e.alreadyApplied(now, t)
		p.finish(now, e, t)
	case galenastair.OrderBusy:
		e.unsure, e.rest = true, now.Add(busyRest)
		return
	case galenastair.OrderFenced:
		p.lease.Refused(o.Fence)
		p.drop(e, t)
	default:
		p.drop(e, t)
		e.unsure = true
	}
	p.startEngine(now, s, e)
}

func (p *Planner) finish(now time.Time, e *engine, t task) {
	p.removeTask(e, t)
	t.done.notify(true)
	switch {
	case t.kind == galenastair.UnloadModel:
		p.announce(now, Placement{e.server.ID, t.name()}, true)
	case t.adapter != "":
		p.announce(now, Placement{e.server.ID, t.name()}, false)
	}
}

func (p *Planner) drop(e *engine, t task) {
	if p.removeTask(e, t) {
		e.givenUp(t)
	}
	t.done.notify(false)
}

// removeTask takes a task off its queue; a new term may have emptied that meanwhile.
func (p *Planner) removeTask(e *engine, t task) bool {
	if len(e.tasks) == 0 || e.tasks[0].name() != t.name() || e.tasks[0].kind != t.kind {
		return false
	}
	e.tasks = e.tasks[1:]
	return true
}

// ask reads an engine's state where the outcome of an order is not known.
func (p *Planner) ask(s *site, e *engine) {
	e.running = true
	address, id := e.server.Address, e.server.ID
	p.tasks.Go(func() {
		state, err := p.control.State(p.ctx, address, id)
		_ = p.loop.Post(p.ctx, func() {
			e.running = false
			p.handleState(s, e, state, err)
		})
	})
}

// handleState takes in an engine's state. If it has accepted more orders than were counted,
// one without an answer has acted.
func (p *Planner) handleState(s *site, e *engine, state galenastair.EngineState, err error) {
	now := p.clock.Now()
	p.logger.Log("event", "engine state", "server", e.server.ID, "sequence", state.Sequence, "counted", e.sequence, "busy", state.Busy, "err", err)
	switch {
	case err != nil:
		e.rest = now.Add(lostRest)
		return
	case state.Busy:
		e.rest = now.Add(busyRest)
		return
	case state.Sequence < e.sequence && now.Sub(e.accepts) < reportLag:
		// the report is older than the last order
		e.rest = now.Add(busyRest)
		return
	}
	if state.Sequence < e.lost && now.Before(e.lostUntil) {
		e.rest = e.lostUntil
		return
	}
	if state.Sequence > e.sequence && len(e.tasks) > 0 {
		p.acted(now, e, state)
	}
	e.sequence = state.Sequence
	e.stated(now, state)
	e.unsure = false
	p.startEngine(now, s, e)
}

// acted finishes the first task if the state shows its effect.
func (p *Planner) acted(now time.Time, e *engine, state galenastair.EngineState) {
	t := e.tasks[0]
	has := false
	for _, m := range state.Models {
		if m.Name != t.model {
			continue
		}
		has = t.adapter == ""
		for _, a := range m.Adapters {
			has = has || a == t.adapter
		}
	}
	for _, f := range state.Fetching {
		has = has || f == t.name()
	}
	if has == (t.kind == galenastair.LoadModel) {
		e.alreadyApplied(now, t)
		p.finish(now, e, t)
	}
}
