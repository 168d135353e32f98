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

// tick runs one planning round on the control loop. Calls to engines and the log run in tasks.
func (l *Leader) tick(ctx context.Context) {
	if ctx.Err() != nil {
		return
	}
	now := l.clock.Now()
	if now.Sub(l.forecastAt) >= forecastInterval {
		l.forecastAt = now
		l.forecast.EndPeriod(now)
	}
	fence, leads := l.leadership(now)
	if !leads {
		return
	}
	if fence != l.fence {
		l.fence = fence
		l.planner = NewPlanner(l.settings)
		clear(l.engineStates)
		_ = l.logger.Log("event", "leads", "fence", fence)
	}
	l.logEngineStates(now)
	l.settleOrders(ctx, now)
	l.raiseFences(ctx, now)
	l.pollPendingOrders(ctx, now)
	if len(l.catalogue) == 0 || len(l.reports) == 0 {
		return
	}
	for _, s := range l.planner.Plan(l.plannerInput(now)) {
		l.enqueue(ctx, s)
	}
	l.logWaits()
}

// logWaits logs when a model becomes unreachable, waits for something else or is reachable again.
func (l *Leader) logWaits() {
	current := l.planner.waitingModels()
	for name, w := range current {
		if l.modelWaits[name] != w {
			_ = l.logger.Log("event", "unreachable", "model", name, "waits", w.reason, "server", w.server)
		}
	}
	for name := range l.modelWaits {
		if _, still := current[name]; !still {
			_ = l.logger.Log("event", "reachable", "model", name)
		}
	}
	l.modelWaits = current
}

// pollPendingOrders fetches the reports of engines with pending orders. Only a report fetched
// from the engine after a settlement shows all effects of the order and removes it from the
// ledger. Without it, free memory would look taken until the next order to that engine.
//
// It also matters when a leader fails and then an engine. The successor has read the orders that
// loaded the engine's models and would count each as still loading, so the models would have no
// copy for 10 s (loadTimeout).
func (l *Leader) pollPendingOrders(ctx context.Context, now time.Time) {
	for _, id := range l.reportingServers() {
		if len(l.plannedSteps[id]) > 0 || now.Sub(l.polledAt[id]) < pendingPollInterval || len(l.ledger.PendingOrders(id)) == 0 {
			continue
		}
		l.polledAt[id] = now
		l.tasks.Go(func() {
			if _, err := l.fetchReport(ctx, id); err != nil {
				_ = l.logger.Log("event", "look", "server", id, "err", err)
			}
		})
	}
}

// enqueue appends a step to the queue of its backend server. Steps run one at a time there,
// since each must see the memory that the one before it takes.
func (l *Leader) enqueue(ctx context.Context, s Step) {
	l.plannedSteps[s.Server] = append(l.plannedSteps[s.Server], s)
	if len(l.plannedSteps[s.Server]) == 1 {
		l.tasks.Go(func() { l.executePlanned(ctx, s.Server) })
	}
}

// executePlanned carries out the queued steps of one backend server until none is left.
func (l *Leader) executePlanned(ctx context.Context, id galenastair.BackendServerID) {
	for {
		var step Step
		var more bool
		err := l.loop.Do(ctx, func() { step, more = l.nextStep(id) })
		if err != nil || !more {
			return
		}
		start := l.clock.Now()
		if err := l.execute(ctx, step); err != nil {
			_ = l.logger.Log("event", "order", "kind", step.Kind, "server", id, "model", step.Weight.Name, "reason", step.Reason, "err", err)
			l.waitAfterFailure(ctx, id, start, err)
		}
		// The step stays queued until it has ended, so that no round plans it twice.
		if l.loop.Do(ctx, func() { more = l.removeStep(id) }) != nil || !more {
			return
		}
	}
}

// waitAfterFailure waits until retryDelay after the start of a failed step. The time that the step
// took counts, because the steps queued behind it wait as well. If the engine has not confirmed
// the fence, no wait is needed: the queued steps are dropped, and the engine is asked for its
// report at once and gets no step until it confirms the fence.
func (l *Leader) waitAfterFailure(ctx context.Context, id galenastair.BackendServerID, start time.Time, err error) {
	if errors.Is(err, errFenceNotConfirmed) {
		_ = l.loop.Do(ctx, func() { delete(l.polledAt, id) })
		return
	}
	sleep(ctx, retryDelay-l.clock.Now().Sub(start))
}

// nextStep returns the next step for a backend server, or false if there is none. It drops the
// steps of a backend server to which no order can be sent any more: queued, they would count as
// loading, and their models would not be loaded elsewhere.
func (l *Leader) nextStep(id galenastair.BackendServerID) (Step, bool) {
	if !l.canSendOrder(l.clock.Now(), id) {
		delete(l.plannedSteps, id)
	}
	if len(l.plannedSteps[id]) == 0 {
		return Step{}, false
	}
	return l.plannedSteps[id][0], true
}

// removeStep removes the first step of a queue and reports whether there are more.
func (l *Leader) removeStep(id galenastair.BackendServerID) bool {
	l.plannedSteps[id] = l.plannedSteps[id][1:]
	if len(l.plannedSteps[id]) == 0 {
		delete(l.plannedSteps, id)
		return false
	}
	return true
}

func (l *Leader) plannerInput(now time.Time) Input {
	in := Input{Now: now, Catalogue: l.catalogue, Work: l.forecast.Predict}
	for _, id := range l.reportingServers() {
		in.Servers = append(in.Servers, l.plannerServer(now, id))
	}
	return in
}

// reportingServers returns the listed backend servers that have reported, sorted by ID.
func (l *Leader) reportingServers() []galenastair.BackendServerID {
	var ids []galenastair.BackendServerID
	for id := range l.reports {
		if _, ok := l.servers[id]; ok {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// plannerServer returns the planner's view of a backend server, from its last report, its pending
// orders and its queued steps.
func (l *Leader) plannerServer(now time.Time, id galenastair.BackendServerID) Server {
	r := l.reports[id]
	v := view{copies: map[weightKey]*Copy{}, memory: map[weightKey]galenastair.Bytes{}}
	for _, w := range r.Loaded {
		v.add(w.Weight, copyStateOf(w.State))
	}
	out := Server{
		ID:               id,
		AvailabilityZone: l.servers[id].AvailabilityZone,
		Leaving:          l.servers[id].Leaving,
		Unhealthy:        slices.Contains(l.unhealthyServers, id),
		Unschedulable:    !l.canSendOrder(now, id),
		SchedulableSoon:  l.awaitingFence(now, id),
	}
	for _, o := range l.ledger.PendingOrders(id) {
		if o.Kind == galenastair.LoadModel && v.copies[key(o.Weight)] == nil && now.Sub(l.ledger.StartedAt(o.ID)) > loadTimeout {
			v.reserve(o.Weight)
			out.Reserved = append(out.Reserved, o.Weight)
			continue
		}
		v.applyOrder(o.Kind, o.Weight)
	}
	for _, s := range l.plannedSteps[id] {
		v.applyOrder(s.Kind, s.Weight)
	}
	out.FreeMemory = r.MemoryTotal
	for _, m := range v.memory {
		out.FreeMemory -= m
	}
	for _, c := range v.copies {
		out.Copies = append(out.Copies, *c)
	}
	slices.SortFunc(out.Copies, func(a, b Copy) int {
		return cmp.Or(cmp.Compare(a.Weight.Name, b.Weight.Name), cmp.Compare(a.Weight.Version, b.Weight.Version))
	})
	return out
}

func copyStateOf(s galenastair.LoadState) CopyState {
	switch s {
	case galenastair.LoadStateReady:
		return Ready
	case galenastair.LoadStateUnloading:
		return Unloading
	}
	return Loading
}

type weightKey struct {
	name    galenastair.ModelName
	version string
}

func key(w galenastair.ModelWeights) weightKey { return weightKey{w.Name, w.Version} }

// view collects the copies on a backend server and the memory that they may take.
type view struct {
	copies map[weightKey]*Copy
	memory map[weightKey]galenastair.Bytes
}

func (v view) reserve(w galenastair.ModelWeights) { v.memory[key(w)] = max(v.memory[key(w)], w.Memory) }

func (v view) add(w galenastair.ModelWeights, s CopyState) {
	v.reserve(w)
	v.copies[key(w)] = &Copy{w, s}
}

// applyOrder applies an order that may or may not have been carried out: a copy that may be
// unloaded counts as unloading, and one that may be loaded as still loading.
func (v view) applyOrder(k galenastair.OrderKind, w galenastair.ModelWeights) {
	c := v.copies[key(w)]
	switch {
	case k == galenastair.LoadModel && c == nil:
		v.add(w, Loading)
	case k == galenastair.UnloadModel && c != nil:
		c.State = Unloading
	}
}

// settleOrders appends settlements for orders that can no longer arrive.
func (l *Leader) settleOrders(ctx context.Context, now time.Time) {
	for _, s := range l.ledger.SettleableOrders(now) {
		l.appendSettled(ctx, now, s)
	}
	for id, o := range l.ownOrders {
		if !l.ledger.Unsettled(id) {
			if o.ended != "" {
				delete(l.ownOrders, id) // settled, or its record never appeared in the log
			}
			continue
		}
		if !o.sentAt.IsZero() && now.Sub(o.sentAt) > l.orderLifetime {
			o.ended = ledger.Expired
		}
		if o.ended != "" && o.order.Fence == l.fence {
			l.appendSettled(ctx, now, ledger.Settled{Order: id, Fence: l.fence, Settlement: o.ended})
		}
	}
}
