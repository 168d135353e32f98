package place

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"galenastair"
	"galenastair/ledger"
)

// tick is one round: it runs on the control loop and starts tasks for what takes time.
func (l *Leader) tick(ctx context.Context) {
	if ctx.Err() != nil {
		return
	}
	now := l.clock.Now()
	if now.Sub(l.foretold) >= forecastPeriod {
		l.foretold = now
		l.forecast.Step(now)
	}
	fence, leads := l.duty(now)
	if !leads {
		return
	}
	if fence != l.fence {
		l.fence = fence
		l.planner = NewPlanner(l.settings)
		clear(l.states)
		_ = l.logger.Log("event", "leads", "fence", fence)
	}
	l.logStates(now)
	l.settle(ctx, now)
	l.raiseFences(ctx, now)
	l.lookAfter(ctx, now)
	if len(l.catalogue) == 0 || len(l.reports) == 0 {
		return
	}
	for _, s := range l.planner.Plan(l.input(now)) {
		l.enqueue(ctx, s)
	}
	l.logWaits()
}

// logWaits logs what models without a ready copy wait for, when that changes.
func (l *Leader) logWaits() {
	now := l.planner.waits()
	for name, w := range now {
		if l.waits[name] != w {
			_ = l.logger.Log("event", "unreachable", "model", name, "waits", w.reason, "server", w.server)
		}
	}
	for name := range l.waits {
		if _, still := now[name]; !still {
			_ = l.logger.Log("event", "reachable", "model", name)
		}
	}
	l.waits = now
}

// lookAfter asks the engines with pending orders for a report of their own: only that
// ends a settled order, and without it memory that is free would look taken for as
// long as nothing else is ordered there.
//
// Failure: a leader dies, and then an engine. The successor has folded the orders
// that loaded the engine's models, and took each for a load on its way: models had
// no copy for 10 s after a change of leader. The answer to a question asked after a
// settlement shows all that the order did.
func (l *Leader) lookAfter(ctx context.Context, now time.Time) {
	for _, id := range l.known() {
		if len(l.planned[id]) > 0 || now.Sub(l.looked[id]) < lookPeriod || len(l.ledger.PendingOrders(id)) == 0 {
			continue
		}
		l.looked[id] = now
		l.tasks.Go(func() {
			if _, err := l.ask(ctx, id); err != nil {
				_ = l.logger.Log("event", "look", "server", id, "err", err)
			}
		})
	}
}

// enqueue adds a step behind those planned for its backend server. One at a time is
// carried out there: the next must see the memory that this one takes.
func (l *Leader) enqueue(ctx context.Context, s Step) {
	l.planned[s.Server] = append(l.planned[s.Server], s)
	if len(l.planned[s.Server]) == 1 {
		l.tasks.Go(func() { l.work(ctx, s.Server) })
	}
}

// work carries out the planned steps of one backend server until none is left.
func (l *Leader) work(ctx context.Context, id galenastair.BackendServerID) {
	for {
		var step Step
		var more bool
		err := l.loop.Do(ctx, func() { step, more = l.nextStep(id) })
		if err != nil || !more {
			return
		}
		begun := l.clock.Now()
		if err := l.carryOut(ctx, step); err != nil {
			_ = l.logger.Log("event", "order", "kind", step.Kind, "server", id, "model", step.Weight.Name, "reason", step.Reason, "err", err)
			l.restAfter(ctx, id, begun, err)
		}
		// the step stays planned until here, so that no round plans it twice
		if l.loop.Do(ctx, func() { more = l.unplan(id) }) != nil || !more {
			return
		}
	}
}

// restAfter waits after a failed step, less what the step itself took: the models behind it wait as
// well. One that met an engine without the fence needs no wait: its engine gets no step until the
// fence is raised, and the models count as not on their way.
func (l *Leader) restAfter(ctx context.Context, id galenastair.BackendServerID, begun time.Time, err error) {
	if errors.Is(err, errNotRaised) {
		_ = l.loop.Do(ctx, func() { delete(l.looked, id) })
		return
	}
	rest(ctx, failureRest-l.clock.Now().Sub(begun))
}

// nextStep returns the step to carry out at a backend server; false if there is none. Steps for
// one that takes no orders any more are dropped: queued, they would count as copies that come,
// and their models be loaded nowhere else.
func (l *Leader) nextStep(id galenastair.BackendServerID) (Step, bool) {
	if !l.takesOrders(l.clock.Now(), id) {
		delete(l.planned, id)
	}
	if len(l.planned[id]) == 0 {
		return Step{}, false
	}
	return l.planned[id][0], true
}

// unplan takes the first step off; it reports whether there are more.
func (l *Leader) unplan(id galenastair.BackendServerID) bool {
	l.planned[id] = l.planned[id][1:]
	if len(l.planned[id]) == 0 {
		delete(l.planned, id)
		return false
	}
	return true
}

func (l *Leader) input(now time.Time) Input {
	in := Input{Now: now, Catalogue: l.catalogue, Work: l.forecast.Work}
	for _, id := range l.known() {
		in.Servers = append(in.Servers, l.server(now, id))
	}
	return in
}

// known returns the listed backend servers that have reported, in a fixed order.
func (l *Leader) known() []galenastair.BackendServerID {
	var ids []galenastair.BackendServerID
	for id := range l.reports {
		if _, ok := l.servers[id]; ok {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// server puts together what the last report, the pending orders and the planned
// steps say of a backend server.
func (l *Leader) server(now time.Time, id galenastair.BackendServerID) Server {
	r := l.reports[id]
	v := view{copies: map[versioned]*Copy{}, memory: map[versioned]galenastair.Bytes{}}
	for _, w := range r.Loaded {
		v.add(w.Weight, stateOf(w.State))
	}
	out := Server{
		ID:               id,
		AvailabilityZone: l.servers[id].AvailabilityZone,
		Leaving:          l.servers[id].Leaving,
		Slow:             slices.Contains(l.slow, id),
		Closed:           !l.takesOrders(now, id),
		Opening:          l.opening(now, id),
	}
	for _, o := range l.ledger.PendingOrders(id) {
		if o.Kind == galenastair.LoadModel && v.copies[key(o.Weight)] == nil && now.Sub(l.ledger.StartedAt(o.ID)) > orderPatience {
			v.reserve(o.Weight)
			out.Reserved = append(out.Reserved, o.Weight)
			continue
		}
		v.order(o.Kind, o.Weight)
	}
	for _, s := range l.planned[id] {
		v.order(s.Kind, s.Weight)
	}
	out.Free = r.MemoryTotal
	for _, m := range v.memory {
		out.Free -= m
	}
	for _, c := range v.copies {
		out.Copies = append(out.Copies, *c)
	}
	slices.SortFunc(out.Copies, func(a, b Copy) int {
		return cmp.Or(cmp.Compare(a.Weight.Name, b.Weight.Name), cmp.Compare(a.Weight.Version, b.Weight.Version))
	})
	return out
}

func stateOf(s galenastair.LoadState) CopyState {
	switch s {
	case galenastair.Ready:
		return Ready
	case galenastair.Unloading:
		return Going
	}
	return Coming
}

type versioned struct {
	name    galenastair.ModelName
	version string
}

func key(w galenastair.Weight) versioned { return versioned{w.Name, w.Version} }

// view collects the copies on one backend server and the memory that they may take.
type view struct {
	copies map[versioned]*Copy
	memory map[versioned]galenastair.Bytes
}

func (v view) reserve(w galenastair.Weight) { v.memory[key(w)] = max(v.memory[key(w)], w.Memory) }

func (v view) add(w galenastair.Weight, s CopyState) {
	v.reserve(w)
	v.copies[key(w)] = &Copy{w, s}
}

// order applies an order that may or may not have been carried out: what may go no
// longer counts as there, and what may come does not yet.
func (v view) order(k galenastair.OrderKind, w galenastair.Weight) {
	c := v.copies[key(w)]
	switch {
	case k == galenastair.LoadModel && c == nil:
		v.add(w, Coming)
	case k == galenastair.UnloadModel && c != nil:
		c.State = Going
	}
}

// settle records the end of orders that can no longer arrive.
func (l *Leader) settle(ctx context.Context, now time.Time) {
	for _, s := range l.ledger.SettleableOrders(now) {
		l.appendSettled(ctx, now, s)
	}
	for id, o := range l.orders {
		if !l.ledger.Unsettled(id) {
			if o.ended != "" {
				delete(l.orders, id) // it was settled, or never came into the log
			}
			continue
		}
		if !o.sent.IsZero() && now.Sub(o.sent) > l.life {
			o.ended = ledger.Expired
		}
		if o.ended != "" && o.order.Fence == l.fence {
			l.appendSettled(ctx, now, ledger.Settled{Order: id, Fence: l.fence, Settlement: o.ended})
		}
	}
}
