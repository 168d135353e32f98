package ledger

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"galenastair"
)

// DefaultOrderLifetime is how long after it was sent or superseded an order may still
// reach an engine; see the package comment.
const DefaultOrderLifetime = 10 * time.Minute

// pendingOrder is an order that may still take effect.
type pendingOrder struct {
	order galenastair.Order
	// supersededAt is when this instance read in the log that the author no longer leads.
	supersededAt time.Time
	// settledAt is when this instance applied the settlement. The order is kept until a
	// report taken after that, since a report may lag behind the answer to an order and
	// not show its effect yet.
	settledAt time.Time
	// unrecorded is set for an order of this process to an engine that checks fences;
	// it has no record in the log.
	unrecorded bool
	// startedAt is when this process created the order or read its record.
	startedAt time.Time
}

// observedReport is the newest report of a backend server and when it was taken.
type observedReport struct {
	report  galenastair.EngineReport
	takenAt time.Time
}

// Ledger holds all orders that may still take effect and the memory that they need.
// It is not safe for concurrent use.
type Ledger struct {
	orderLifetime time.Duration
	leader        Leader
	restoredAt    time.Time
	orders        map[galenastair.OrderID]*pendingOrder
	reports       map[galenastair.BackendServerID]*observedReport
}

// New returns an empty ledger. orderLifetime bounds how long an order may still arrive.
func New(orderLifetime time.Duration) *Ledger {
	return &Ledger{
		orderLifetime: orderLifetime,
		orders:        map[galenastair.OrderID]*pendingOrder{},
		reports:       map[galenastair.BackendServerID]*observedReport{},
	}
}

// Apply applies a record of the control stream; leader is the leader right after the
// record's offset.
//
// A record by any other author has no effect. A paused leader that resumes after its
// lease may still append orders; no instance counts them, and the paused leader reads
// back that they have no effect.
func (l *Ledger) Apply(now time.Time, rec galenastair.Record, leader Leader) ApplyResult {
	l.setLeader(now, leader)
	switch rec.Kind {
	case KindIssued:
		body, ok := decode[Issued](rec)
		if !ok || !l.writtenByLeader(rec, body.Order.Fence) || l.orders[body.Order.ID] != nil {
			return NoEffect
		}
		l.orders[body.Order.ID] = &pendingOrder{order: body.Order, startedAt: now}
		return Applied
	case KindSettled:
		body, ok := decode[Settled](rec)
		if !ok || !l.writtenByLeader(rec, body.Fence) || l.orders[body.Order] == nil {
			return NoEffect
		}
		l.orders[body.Order].settledAt = now
		return Applied
	}
	return UnknownKind
}

func (l *Ledger) writtenByLeader(rec galenastair.Record, f galenastair.Fence) bool {
	return rec.Author == string(l.leader.ID) && f == l.leader.Fence
}

func (l *Ledger) setLeader(now time.Time, leader Leader) {
	if leader == l.leader {
		return
	}
	l.leader = leader
	for _, p := range l.orders {
		if p.supersededAt.IsZero() {
			p.supersededAt = now
		}
	}
}

// ApplyReport applies a report that was taken at or after takenAt: the time at which this
// process asked the engine, less the age that the engine states. Reports relayed by other
// instances must not be passed, since a stalled connection makes an old one look new.
func (l *Ledger) ApplyReport(takenAt time.Time, r galenastair.EngineReport) {
	obs := l.reports[r.BackendServer]
	if obs == nil {
		obs = &observedReport{}
		l.reports[r.BackendServer] = obs
	}
	if !takenAt.After(obs.takenAt) {
		return
	}
	obs.takenAt, obs.report = takenAt, r
	for id, p := range l.orders {
		if p.order.BackendServer == r.BackendServer && l.coveredBy(p, obs) {
			delete(l.orders, id)
		}
	}
}

// coveredBy reports whether a report shows every effect that an order will ever have.
func (l *Ledger) coveredBy(p *pendingOrder, obs *observedReport) bool {
	if !p.settledAt.IsZero() && obs.takenAt.After(p.settledAt) {
		return true
	}
	return p.unrecorded && (obs.rejects(p.order.Fence) || obs.takenAt.Sub(p.startedAt) > l.orderLifetime)
}

// rejects reports whether the engine rejects any order with fence f that arrives from now on.
func (obs *observedReport) rejects(f galenastair.Fence) bool {
	return obs.report.ChecksFence && obs.report.HighestFence > f
}

// RemoveServer drops the report of a backend server that is no longer listed. Its orders
// stay until they are settled.
func (l *Ledger) RemoveServer(id galenastair.BackendServerID) { delete(l.reports, id) }

// PendingOrders returns the orders for a backend server that may still take effect.
func (l *Ledger) PendingOrders(id galenastair.BackendServerID) []galenastair.Order {
	var out []galenastair.Order
	for _, p := range l.orders {
		if p.order.BackendServer == id {
			out = append(out, p.order)
		}
	}
	slices.SortFunc(out, func(a, b galenastair.Order) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// StartedAt returns when this process created an order or first read its record, and the
// zero time if the order is not pending.
func (l *Ledger) StartedAt(id galenastair.OrderID) time.Time {
	if p := l.orders[id]; p != nil {
		return p.startedAt
	}
	return time.Time{}
}

// Unsettled reports whether an order is pending and not settled yet.
func (l *Ledger) Unsettled(id galenastair.OrderID) bool {
	p := l.orders[id]
	return p != nil && p.settledAt.IsZero()
}

// SettleableOrders returns settlements for the orders of former leaders that can no longer
// arrive.
func (l *Ledger) SettleableOrders(now time.Time) []Settled {
	var out []Settled
	for id, p := range l.orders {
		if p.unrecorded || !p.settledAt.IsZero() || p.supersededAt.IsZero() {
			continue
		}
		obs := l.reports[p.order.BackendServer]
		switch {
		case obs != nil && obs.rejects(p.order.Fence):
			out = append(out, Settled{id, l.leader.Fence, Superseded})
		case now.Sub(p.supersededAt) >= l.orderLifetime:
			out = append(out, Settled{id, l.leader.Fence, Expired})
		}
	}
	slices.SortFunc(out, func(a, b Settled) int { return cmp.Compare(a.Order, b.Order) })
	return out
}

// Snapshot returns the recorded orders that are not settled. Ledgers that applied the same
// records return identical snapshots.
func (l *Ledger) Snapshot() (json.RawMessage, error) {
	var orders []galenastair.Order
	for _, p := range l.orders {
		if p.settledAt.IsZero() && !p.unrecorded {
			orders = append(orders, p.order)
		}
	}
	slices.SortFunc(orders, func(a, b galenastair.Order) int { return cmp.Compare(a.ID, b.ID) })
	return json.Marshal(orders)
}

// Restore replaces the recorded orders with those of a snapshot and keeps the unrecorded
// orders of this process. A snapshot omits orders that were settled shortly before it, and a
// report taken before now may not show their effect yet, so only later reports count.
func (l *Ledger) Restore(now time.Time, raw json.RawMessage, leader Leader) error {
	var orders []galenastair.Order
	if raw != nil {
		if err := json.Unmarshal(raw, &orders); err != nil {
			return err
		}
	}
	maps.DeleteFunc(l.orders, func(_ galenastair.OrderID, p *pendingOrder) bool { return !p.unrecorded })
	clear(l.reports)
	l.restoredAt = now
	l.leader = leader
	for _, o := range orders {
		p := &pendingOrder{order: o, startedAt: now}
		if o.Fence != leader.Fence {
			p.supersededAt = now
		}
		l.orders[o.ID] = p
	}
	return nil
}
