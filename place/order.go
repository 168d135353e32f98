package place

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"galenastair"
	"galenastair/ledger"
	"galenastair/member"
)

var (
	errNotLeader         = eris.New("this instance is no longer the leader")
	errNoRoom            = eris.New("not enough unreserved memory on the backend server")
	errLastCopy          = eris.New("no other backend server has a ready copy of the model")
	errNotReadBack       = eris.New("order record was not read back as valid from the log")
	errFenceNotConfirmed = eris.New("backend server has not confirmed this leader's fence yet")
	errNotListed         = eris.New("backend server is no longer listed")
)

// settleRetryInterval is the minimum time between two appends of one settlement. Without it, a
// log whose answers are lost would be flooded.
const settleRetryInterval = 5 * time.Second

// ownOrder is an order that this process created, or whose settlement it appends.
type ownOrder struct {
	order galenastair.Order
	// unrecorded is set for an order to an engine that checks fences. Other orders have a
	// record, whose result is delivered to applyResult.
	unrecorded  bool
	applyResult chan ledger.ApplyResult
	// sentAt is when a send ended without an answer.
	sentAt time.Time
	// ended is the reason why no copy of the order can arrive any more; empty until then.
	ended         ledger.Settlement
	settleTriedAt time.Time
}

// execute carries out a step: it fetches current reports, records the order if the engine
// ignores fences, checks the lease and sends the order.
func (l *Leader) execute(ctx context.Context, s Step) error {
	ctx, cancel := context.WithTimeout(ctx, 4*callTimeout)
	defer cancel()
	if err := l.checkBeforeOrder(ctx, s); err != nil {
		return err
	}
	o, err := l.prepareOrder(ctx, s)
	if err != nil {
		return err
	}
	return l.send(ctx, s, o)
}

// prepareOrder creates an order of which a successor will learn: from the engine's report if the
// engine checks fences, else from a record that it appends and reads back.
func (l *Leader) prepareOrder(ctx context.Context, s Step) (*ownOrder, error) {
	var o *ownOrder
	var refused error
	err := l.loop.Do(ctx, func() { o, refused = l.newOrder(s) })
	if err = errors.Join(err, refused); err != nil {
		return nil, err
	}
	if o.unrecorded {
		return o, nil
	}
	if err := l.recordOrder(ctx, o); err != nil {
		return nil, errors.Join(err, l.markRecordFailed(ctx))
	}
	return o, nil
}

func (l *Leader) markRecordFailed(ctx context.Context) error {
	return l.loop.Do(context.WithoutCancel(ctx), func() { l.recordFailedAt = l.clock.Now() })
}

// checkBeforeOrder fetches the engine's report, since the reports used for planning are some
// seconds old. Before an unload it also checks that another engine has a ready copy.
func (l *Leader) checkBeforeOrder(ctx context.Context, s Step) error {
	if _, err := l.fetchReport(ctx, s.Server); err != nil {
		return err
	}
	if s.Kind != galenastair.UnloadModel {
		return nil
	}
	var others []galenastair.BackendServerID
	if err := l.loop.Do(ctx, func() { others = l.otherServersWith(s) }); err != nil {
		return err
	}
	for _, id := range others {
		r, err := l.fetchReport(ctx, id)
		if err == nil && hasReady(r, s.Weight.Name) {
			return nil
		}
	}
	return errLastCopy
}

func (l *Leader) fetchReport(ctx context.Context, id galenastair.BackendServerID) (galenastair.EngineReport, error) {
	var address string
	if err := l.loop.Do(ctx, func() { address = l.servers[id].Address }); err != nil {
		return galenastair.EngineReport{}, err
	}
	if address == "" {
		return galenastair.EngineReport{}, errNotListed
	}
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	// Taken before the call, so that the report is no older than this however long the call takes.
	asked := l.clock.Now()
	r, err := l.engine.Report(call, address)
	if err != nil {
		return r, err
	}
	return r, l.loop.Do(ctx, func() {
		l.reports[id] = r
		l.ledger.ApplyReport(asked.Add(-r.Age), r)
	})
}

// otherServersWith returns the other backend servers, neither leaving nor unhealthy, whose last
// report shows a ready copy of the step's model.
func (l *Leader) otherServersWith(s Step) []galenastair.BackendServerID {
	var out []galenastair.BackendServerID
	now := l.clock.Now()
	for _, id := range l.reportingServers() {
		v := l.plannerServer(now, id)
		if id == s.Server || v.Leaving || v.Unhealthy {
			continue
		}
		for _, c := range v.Copies {
			if c.Weight.Name == s.Weight.Name && c.State == Ready {
				out = append(out, id)
			}
		}
	}
	return out
}

func hasReady(r galenastair.EngineReport, m galenastair.ModelName) bool {
	for _, w := range r.Loaded {
		if w.Weight.Name == m && w.State == galenastair.LoadStateReady {
			return true
		}
	}
	return false
}

// recordOrder appends the order and waits until it is read back.
func (l *Leader) recordOrder(ctx context.Context, o *ownOrder) error {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := l.append(call, ledger.KindIssued, ledger.Issued{Order: o.order})
	if errors.Is(err, galenastair.ErrAppendRefused) {
		l.endOrder(ctx, o, ledger.NeverSent)
		return err
	}
	// An append whose answer was lost may have succeeded, so only reading back decides.
	select {
	case v := <-o.applyResult:
		if v == ledger.Applied {
			return nil
		}
		err = errNotReadBack
	case <-call.Done():
		err = errors.Join(errNotReadBack, err)
	}
	l.endOrder(ctx, o, ledger.NeverSent)
	return err
}

func (l *Leader) newOrder(s Step) (*ownOrder, error) {
	fence, leads := l.leadership(l.clock.Now())
	if !leads {
		return nil, errNotLeader
	}
	o := galenastair.Order{
		ID:            galenastair.OrderID(uuid.NewString()),
		Fence:         fence,
		BackendServer: s.Server,
		Kind:          s.Kind,
		Weight:        s.Weight,
	}
	checks := l.reports[s.Server].ChecksFence
	if checks && !l.ledger.FenceConfirmed(s.Server, fence) {
		return nil, errFenceNotConfirmed
	}
	if !l.ledger.Fits(o) {
		return nil, errNoRoom
	}
	if checks {
		l.ledger.AddUnrecorded(l.clock.Now(), o)
		return &ownOrder{order: o, unrecorded: true}, nil
	}
	own := &ownOrder{order: o, applyResult: make(chan ledger.ApplyResult, 1)}
	l.ownOrders[o.ID] = own
	return own, nil
}

// send sends an order once. It is not sent again if the answer is lost: a second copy in flight
// would need accounting as well, while a new order for the same weight takes no more memory.
func (l *Leader) send(ctx context.Context, s Step, o *ownOrder) error {
	var address string
	if err := l.loop.Do(ctx, func() { address = l.servers[s.Server].Address }); err != nil {
		return err
	}
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if fence, leads := l.leadership(l.clock.Now()); !leads || fence != o.order.Fence || address == "" {
		l.endOrder(ctx, o, ledger.NeverSent)
		return errNotLeader
	}
	// If the process is paused here, the order may arrive after the lease has expired. An
	// engine that checks fences rejects it; for the others the ledger keeps the memory
	// reserved for the order lifetime.
	err := l.engine.SendOrder(call, address, o.order)
	switch {
	case err == nil:
		l.endOrder(ctx, o, ledger.Answered)
	case errors.Is(err, galenastair.ErrStaleFence), errors.Is(err, galenastair.ErrDeclined):
		l.endOrder(ctx, o, ledger.Refused)
	case errors.Is(err, galenastair.ErrNotSent):
		l.endOrder(ctx, o, ledger.NeverSent)
	default:
		sent := l.clock.Now()
		_ = l.loop.Do(ctx, func() { o.sentAt = sent })
	}
	if err == nil {
		l.onOrder(s.Kind, s.Reason)
		_ = l.logger.Log("event", "order", "kind", s.Kind, "server", s.Server, "model", s.Weight.Name, "reason", s.Reason, "order", o.order.ID, "fence", o.order.Fence)
	}
	return err
}

// endOrder marks an order of which no copy can arrive any more. It ignores the cancellation of
// the step's context, as the memory would otherwise stay reserved for the order lifetime.
func (l *Leader) endOrder(ctx context.Context, o *ownOrder, why ledger.Settlement) {
	_ = l.loop.Post(context.WithoutCancel(ctx), func() {
		o.ended = why
		if o.unrecorded {
			l.ledger.EndUnrecorded(l.clock.Now(), o.order.ID, why)
		}
	})
}

func (l *Leader) append(ctx context.Context, k galenastair.RecordKind, body any) error {
	raw, err := json.Marshal(body)
	if err != nil {
		return err
	}
	data, err := json.Marshal(galenastair.Record{
		ID:     galenastair.RecordID(uuid.NewString()),
		Kind:   k,
		Author: string(l.self),
		Body:   raw,
	})
	if err != nil {
		return err
	}
	_, err = l.log.Append(ctx, l.stream, data)
	return err
}

func (l *Leader) appendSettled(ctx context.Context, now time.Time, s ledger.Settled) {
	if own := l.ownOrders[s.Order]; own != nil {
		if now.Sub(own.settleTriedAt) < settleRetryInterval {
			return
		}
		own.settleTriedAt = now
	} else {
		l.ownOrders[s.Order] = &ownOrder{order: galenastair.Order{ID: s.Order, Fence: s.Fence}, settleTriedAt: now}
	}
	l.tasks.Go(func() {
		call, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		if err := l.append(call, ledger.KindSettled, s); err != nil {
			_ = l.logger.Log("event", "settle", "order", s.Order, "err", err)
		}
	})
}

// Name returns the name of the section for orders in snapshots of the control stream.
func (l *Leader) Name() string { return "Orders" }

// Apply applies a record of the control stream.
func (l *Leader) Apply(now time.Time, _ galenastair.Offset, rec galenastair.Record, state *member.State) {
	id, _, fence := state.Leader()
	l.applyRecord(now, rec, ledger.Leader{ID: id, Fence: fence})
}

func (l *Leader) applyRecord(now time.Time, rec galenastair.Record, leader ledger.Leader) {
	result := l.ledger.Apply(now, rec, leader)
	switch rec.Kind {
	case ledger.KindIssued:
		var body ledger.Issued
		if json.Unmarshal(rec.Body, &body) != nil {
			return
		}
		l.deliverResult(rec, body.Order, result)
	case ledger.KindSettled:
		var body ledger.Settled
		if json.Unmarshal(rec.Body, &body) == nil && result == ledger.Applied {
			delete(l.ownOrders, body.Order)
		}
	}
}

// deliverResult passes a record's result to the task that waits for it. A record of this instance
// that took effect without a waiting task arrived late: its order was abandoned and is never sent.
func (l *Leader) deliverResult(rec galenastair.Record, o galenastair.Order, v ledger.ApplyResult) {
	own := l.ownOrders[o.ID]
	if own == nil && v == ledger.Applied && rec.Author == string(l.self) {
		l.ownOrders[o.ID] = &ownOrder{order: o, ended: ledger.NeverSent}
		return
	}
	if own == nil || own.applyResult == nil {
		return
	}
	select {
	case own.applyResult <- v:
	default:
	}
}

// Snapshot returns the recorded orders that are not settled.
func (l *Leader) Snapshot() (json.RawMessage, error) { return l.ledger.Snapshot() }

// Restore replaces the orders with those of a snapshot. The leader is known only from the next
// record on; until then all orders count as a former leader's, so their memory stays reserved.
func (l *Leader) Restore(now time.Time, _ galenastair.Offset, raw json.RawMessage) error {
	return l.ledger.Restore(now, raw, ledger.Leader{})
}
