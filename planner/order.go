package planner

import (
	"time"

	"galenastair"
)

// maxReportAge bounds the age of the state that an engine returns. Engines document it as some
// hundred milliseconds.
const maxReportAge = time.Second

// sendOrders sends each engine its next order.
func (p *Planner) sendOrders(now time.Time, s *service) {
	for _, e := range s.engines {
		p.sendNextOrder(now, s, e)
	}
}

func (p *Planner) sendNextOrder(now time.Time, s *service, e *engine) {
	if e.orderInFlight || now.Before(e.retryAt) || len(e.queue) == 0 && !e.stateUnknown {
		return
	}
	if e.stateUnknown {
		p.requestState(s, e)
		return
	}
	fence, ok := p.lease.OrderFence()
	if !ok {
		return
	}
	q := e.queue[0]
	if !e.hasRoom(s.modelSet, q) || q.kind == galenastair.LoadModel && e.server.Leaving {
		p.logger.Log("event", "order dropped", "kind", q.kind, "name", q.name(), "server", e.server.ID, "reason", q.reason)
		p.abandon(e, q)
		return
	}
	order := galenastair.EngineOrder{
		Kind:             q.kind,
		Model:            q.model,
		Adapter:          q.adapter,
		ExpectedSequence: e.sequence,
		Holder:           p.self,
		Fence:            fence,
		ExpectedServer:   e.server.ID,
	}
	e.orderInFlight = true
	held := e.heldSummary()
	// the registration belongs to the control loop, which may write it while the order is sent
	address := e.server.Address
	p.inFlight.Go(func() { p.send(s, e, q, address, order, held) })
}

// send sends one order. It checks the lease again immediately before the call, since the process
// may have been suspended after the order was planned.
func (p *Planner) send(s *service, e *engine, q queuedOrder, address string, o galenastair.EngineOrder, held string) {
	answer, err := galenastair.OrderInvalid, ErrNotLeader
	fence, ok := p.lease.OrderFence()
	sent := ok && fence == o.Fence
	if sent {
		answer, err = p.control.SendOrder(p.ctx, address, o)
	}
	p.logger.Log("event", "order", "kind", q.kind, "name", q.name(), "server", o.ExpectedServer, "reason", q.reason,
		"fence", int64(o.Fence), "sequence", o.ExpectedSequence, "held", held, "answer", outcomeLabel(answer, err), "err", err)
	p.onOrder(q.kind, q.reason, outcomeLabel(answer, err))
	_ = p.loop.Post(p.ctx, func() {
		e.orderInFlight = false
		p.handleOutcome(s, e, q, o, sent, answer, err)
	})
}

func outcomeLabel(a galenastair.OrderResult, err error) string {
	if err != nil {
		return "Unknown"
	}
	switch a {
	case galenastair.OrderAccepted:
		return "Accepted"
	case galenastair.OrderDone:
		return "Held"
	case galenastair.OrderConflict:
		return "Busy"
	case galenastair.OrderStaleFence:
		return "Fenced"
	case galenastair.OrderMisdirected:
		return "Gone"
	}
	return "Wrong"
}

// handleOutcome processes the outcome of an order.
func (p *Planner) handleOutcome(s *service, e *engine, q queuedOrder, o galenastair.EngineOrder, sent bool, a galenastair.OrderResult, err error) {
	now := p.clock.Now()
	switch {
	case !sent:
		p.abandon(e, q)
		return
	case err != nil:
		// the order may still take effect seconds later, unless another order is accepted first;
		// the engine's state shows whether it has
		e.stateUnknown, e.retryAt = true, now.Add(unansweredRetryDelay)
		e.lostSequence, e.lostUntil = o.ExpectedSequence, now.Add(maxOrderDelay)
		return
	}
	switch a {
	case galenastair.OrderAccepted:
		e.accepted(now, q)
		s.recordLoadTime(e, q)
		p.finish(now, e, q)
	case galenastair.OrderDone:
		e.alreadyApplied(now, q)
		p.finish(now, e, q)
	case galenastair.OrderConflict:
		e.stateUnknown, e.retryAt = true, now.Add(busyRetryDelay)
		return
	case galenastair.OrderStaleFence:
		p.lease.FenceRejected(o.Fence)
		p.abandon(e, q)
	default:
		p.abandon(e, q)
		e.stateUnknown = true
	}
	p.sendNextOrder(now, s, e)
}

func (p *Planner) finish(now time.Time, e *engine, q queuedOrder) {
	p.dequeue(e, q)
	q.done.notify(true)
	switch {
	case q.kind == galenastair.UnloadModel:
		p.publishChange(now, Placement{e.server.ID, q.name()}, true)
	case q.adapter != "":
		p.publishChange(now, Placement{e.server.ID, q.name()}, false)
	}
}

func (p *Planner) abandon(e *engine, q queuedOrder) {
	if p.dequeue(e, q) {
		e.release(q)
	}
	q.done.notify(false)
}

// dequeue removes an order from its queue, unless a new term has cleared the queue meanwhile.
func (p *Planner) dequeue(e *engine, q queuedOrder) bool {
	if len(e.queue) == 0 || e.queue[0].name() != q.name() || e.queue[0].kind != q.kind {
		return false
	}
	e.queue = e.queue[1:]
	return true
}

// requestState queries the state of an engine after an order whose outcome is unknown.
func (p *Planner) requestState(s *service, e *engine) {
	e.orderInFlight = true
	address, id := e.server.Address, e.server.ID
	p.inFlight.Go(func() {
		state, err := p.control.State(p.ctx, address, id)
		_ = p.loop.Post(p.ctx, func() {
			e.orderInFlight = false
			p.handleState(s, e, state, err)
		})
	})
}

// handleState processes the state of an engine. If it has accepted more orders than were counted,
// an unanswered order has taken effect.
func (p *Planner) handleState(s *service, e *engine, state galenastair.EngineState, err error) {
	now := p.clock.Now()
	p.logger.Log("event", "engine state", "server", e.server.ID, "sequence", state.Sequence, "counted", e.sequence, "busy", state.Busy, "err", err)
	switch {
	case err != nil:
		e.retryAt = now.Add(unansweredRetryDelay)
		return
	case state.Busy:
		e.retryAt = now.Add(busyRetryDelay)
		return
	case state.Sequence < e.sequence && now.Sub(e.acceptedAt) < maxReportAge:
		// the state is older than the last accepted order
		e.retryAt = now.Add(busyRetryDelay)
		return
	}
	if state.Sequence < e.lostSequence && now.Before(e.lostUntil) {
		e.retryAt = e.lostUntil
		return
	}
	if state.Sequence > e.sequence && len(e.queue) > 0 {
		p.finishIfApplied(now, e, state)
	}
	e.sequence = state.Sequence
	e.applyState(now, state)
	e.stateUnknown = false
	p.sendNextOrder(now, s, e)
}

// finishIfApplied completes the first queued order if the state shows its effect.
func (p *Planner) finishIfApplied(now time.Time, e *engine, state galenastair.EngineState) {
	q := e.queue[0]
	has := false
	for _, m := range state.Models {
		if m.Name != q.model {
			continue
		}
		has = q.adapter == ""
		for _, a := range m.Adapters {
			has = has || a == q.adapter
		}
	}
	for _, f := range state.LoadingAdapters {
		has = has || f == q.name()
	}
	if has == (q.kind == galenastair.LoadModel) {
		e.alreadyApplied(now, q)
		p.finish(now, e, q)
	}
}
