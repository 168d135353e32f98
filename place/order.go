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
	errNotLeader = eris.New("this instance no longer leads")
	errNoRoom    = eris.New("the backend server's memory is taken or reserved")
	errLastCopy  = eris.New("no other backend server has a ready copy")
	errNotValid  = eris.New("the order was not read back as valid")
	errNotRaised = eris.New("the backend server does not show this leader's fence yet")
	errGone      = eris.New("the backend server is no longer listed")
)

// settleRetry keeps a log whose answers get lost from being flooded.
const settleRetry = 5 * time.Second

// ownOrder is an order that this process has decided on.
type ownOrder struct {
	order galenastair.Order
	// unrecorded is set for an engine that checks fences; verdict is for the others.
	unrecorded bool
	verdict    chan ledger.Verdict
	// sent is when it was sent without an answer.
	sent time.Time
	// ended says why no copy of it can arrive any more, once that is so.
	ended ledger.Settlement
	tried time.Time
}

// carryOut looks, records and reads back where that is needed, checks the lease and sends.
func (l *Leader) carryOut(ctx context.Context, s Step) error {
	ctx, cancel := context.WithTimeout(ctx, 4*callTimeout)
	defer cancel()
	if err := l.look(ctx, s); err != nil {
		return err
	}
	o, err := l.prepare(ctx, s)
	if err != nil {
		return err
	}
	return l.send(ctx, s, o)
}

// prepare makes sure that a successor will know of the order: from the engine, if that
// checks fences, else from a record.
func (l *Leader) prepare(ctx context.Context, s Step) (*ownOrder, error) {
	var o *ownOrder
	var refused error
	err := l.loop.Do(ctx, func() { o, refused = l.newOrder(s) })
	if err = errors.Join(err, refused); err != nil {
		return nil, err
	}
	if o.unrecorded {
		return o, nil
	}
	if err := l.record(ctx, o); err != nil {
		return nil, errors.Join(err, l.noteRecordFailed(ctx))
	}
	return o, nil
}

func (l *Leader) noteRecordFailed(ctx context.Context) error {
	return l.loop.Do(context.WithoutCancel(ctx), func() { l.recordFailed = l.clock.Now() })
}

// look asks the engine itself right before an order, and before an unload also one
// that has another copy: the reports that were planned with are some seconds old.
func (l *Leader) look(ctx context.Context, s Step) error {
	if _, err := l.ask(ctx, s.Server); err != nil {
		return err
	}
	if s.Kind != galenastair.UnloadModel {
		return nil
	}
	var others []galenastair.BackendServerID
	if err := l.loop.Do(ctx, func() { others = l.othersWith(s) }); err != nil {
		return err
	}
	for _, id := range others {
		r, err := l.ask(ctx, id)
		if err == nil && readyOn(r, s.Weight.Name) {
			return nil
		}
	}
	return errLastCopy
}

func (l *Leader) ask(ctx context.Context, id galenastair.BackendServerID) (galenastair.EngineReport, error) {
	var address string
	if err := l.loop.Do(ctx, func() { address = l.servers[id].Address }); err != nil {
		return galenastair.EngineReport{}, err
	}
	if address == "" {
		return galenastair.EngineReport{}, errGone
	}
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	// from before the call: however long the answer took, it is no older than this
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

// othersWith returns the backend servers that will stay and show another ready copy.
func (l *Leader) othersWith(s Step) []galenastair.BackendServerID {
	var out []galenastair.BackendServerID
	now := l.clock.Now()
	for _, id := range l.known() {
		v := l.server(now, id)
		if id == s.Server || v.Leaving || v.Slow {
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

func readyOn(r galenastair.EngineReport, m galenastair.ModelName) bool {
	for _, w := range r.Loaded {
		if w.Weight.Name == m && w.State == galenastair.Ready {
			return true
		}
	}
	return false
}

// record appends the order and waits until it is read back.
func (l *Leader) record(ctx context.Context, o *ownOrder) error {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := l.append(call, ledger.KindIssued, ledger.Issued{Order: o.order})
	if errors.Is(err, galenastair.ErrAppendRefused) {
		l.end(ctx, o, ledger.NeverSent)
		return err
	}
	// an append whose answer was lost is resolved by reading back, like any other
	select {
	case v := <-o.verdict:
		if v == ledger.Valid {
			return nil
		}
		err = errNotValid
	case <-call.Done():
		err = errors.Join(errNotValid, err)
	}
	l.end(ctx, o, ledger.NeverSent)
	return err
}

func (l *Leader) newOrder(s Step) (*ownOrder, error) {
	fence, leads := l.duty(l.clock.Now())
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
		return nil, errNotRaised
	}
	if !l.ledger.Fits(o) {
		return nil, errNoRoom
	}
	if checks {
		l.ledger.AddUnrecorded(l.clock.Now(), o)
		return &ownOrder{order: o, unrecorded: true}, nil
	}
	own := &ownOrder{order: o, verdict: make(chan ledger.Verdict, 1)}
	l.orders[o.ID] = own
	return own, nil
}

// send sends an order once. It is not sent again when its answer is lost: a second
// copy on its way would have to be accounted for as well, while a new order for the
// same weight takes no more memory.
func (l *Leader) send(ctx context.Context, s Step, o *ownOrder) error {
	var address string
	if err := l.loop.Do(ctx, func() { address = l.servers[s.Server].Address }); err != nil {
		return err
	}
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if fence, leads := l.duty(l.clock.Now()); !leads || fence != o.order.Fence || address == "" {
		l.end(ctx, o, ledger.NeverSent)
		return errNotLeader
	}
	// A pause right here carries the order past the lease. An engine that checks
	// fences refuses it; for the others the ledger keeps its memory (see ledger).
	err := l.engine.Order(call, address, o.order)
	switch {
	case err == nil:
		l.end(ctx, o, ledger.Answered)
	case errors.Is(err, galenastair.ErrStaleFence), errors.Is(err, galenastair.ErrDeclined):
		l.end(ctx, o, ledger.Refused)
	case errors.Is(err, galenastair.ErrNotSent):
		l.end(ctx, o, ledger.NeverSent)
	default:
		sent := l.clock.Now()
		_ = l.loop.Do(ctx, func() { o.sent = sent })
	}
	if err == nil {
		l.ordered(s.Kind, s.Reason)
		_ = l.logger.Log("event", "order", "kind", s.Kind, "server", s.Server, "model", s.Weight.Name, "reason", s.Reason, "order", o.order.ID, "fence", o.order.Fence)
	}
	return err
}

// end notes that no copy of an order can arrive any more. It must not be lost with
// the step's context, or the memory would stay reserved for all of Life.
func (l *Leader) end(ctx context.Context, o *ownOrder, why ledger.Settlement) {
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
	if own := l.orders[s.Order]; own != nil {
		if now.Sub(own.tried) < settleRetry {
			return
		}
		own.tried = now
	} else {
		l.orders[s.Order] = &ownOrder{order: galenastair.Order{ID: s.Order, Fence: s.Fence}, tried: now}
	}
	l.tasks.Go(func() {
		call, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		if err := l.append(call, ledger.KindSettled, s); err != nil {
			_ = l.logger.Log("event", "settle", "order", s.Order, "err", err)
		}
	})
}

// Name is the name of the orders' section in snapshots of the control stream.
func (l *Leader) Name() string { return "Orders" }

// Apply folds a record of the control stream.
func (l *Leader) Apply(now time.Time, _ galenastair.Offset, rec galenastair.Record, state *member.State) {
	id, _, fence := state.Leader()
	l.fold(now, rec, ledger.Leader{ID: id, Fence: fence})
}

func (l *Leader) fold(now time.Time, rec galenastair.Record, leader ledger.Leader) {
	verdict := l.ledger.Apply(now, rec, leader)
	switch rec.Kind {
	case ledger.KindIssued:
		var body ledger.Issued
		if json.Unmarshal(rec.Body, &body) != nil {
			return
		}
		l.readBack(rec, body.Order, verdict)
	case ledger.KindSettled:
		var body ledger.Settled
		if json.Unmarshal(rec.Body, &body) == nil && verdict == ledger.Valid {
			delete(l.orders, body.Order)
		}
	}
}

// readBack tells the task that waits for its record. A record of ours that nobody
// waits for any more came late: its order was given up and is never sent.
func (l *Leader) readBack(rec galenastair.Record, o galenastair.Order, v ledger.Verdict) {
	own := l.orders[o.ID]
	if own == nil && v == ledger.Valid && rec.Author == string(l.self) {
		l.orders[o.ID] = &ownOrder{order: o, ended: ledger.NeverSent}
		return
	}
	if own == nil || own.verdict == nil {
		return
	}
	select {
	case own.verdict <- v:
	default:
	}
}

// Snapshot returns the orders that may still take effect.
func (l *Leader) Snapshot() (json.RawMessage, error) { return l.ledger.Snapshot() }

// Restore replaces the orders by those of a snapshot. Who leads is learnt with the
// next record; until then all are taken for a former leader's, which keeps them.
func (l *Leader) Restore(now time.Time, _ galenastair.Offset, raw json.RawMessage) error {
	return l.ledger.Restore(now, raw, ledger.Leader{})
}
