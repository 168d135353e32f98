package ledger

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"galenastair"
)

// DefaultLife is how long an order may still arrive; see the package comment.
const DefaultLife = 10 * time.Minute

// entry is one order that is not known to be finished or dead.
type entry struct {
	order galenastair.Order
	// superseded is when this instance folded that its author no longer leads.
	superseded time.Time
	// settled is when this instance folded its settlement. The entry stays until a
	// report taken after that: the answer to an order may come before a report that
	// does not show its effect yet.
	settled time.Time
	// unrecorded is set for an own order to an engine that checks fences.
	unrecorded bool
	// begun is when it was decided on, or when its record was folded.
	begun time.Time
}

// account is what is known of one backend server's memory.
type account struct {
	report galenastair.EngineReport
	at     time.Time
}

// Ledger holds all orders that may still take effect, and the memory they need.
type Ledger struct {
	life     time.Duration
	leader   Leader
	restored time.Time
	orders   map[galenastair.OrderID]*entry
	accounts map[galenastair.BackendServerID]*account
}

// New returns an empty ledger; orders may arrive for life after they were sent.
func New(life time.Duration) *Ledger {
	return &Ledger{
		life:     life,
		orders:   map[galenastair.OrderID]*entry{},
		accounts: map[galenastair.BackendServerID]*account{},
	}
}

// Apply folds a record; leader is who leads right after its offset.
//
// A record of somebody else is void: a leader that was paused and still believes
// that it leads appends orders that nobody counts, and it reads back just that.
func (l *Ledger) Apply(now time.Time, rec galenastair.Record, leader Leader) Verdict {
	l.follow(now, leader)
	switch rec.Kind {
	case KindIssued:
		body, ok := decode[Issued](rec)
		if !ok || !l.byLeader(rec, body.Order.Fence) || l.orders[body.Order.ID] != nil {
			return Void
		}
		l.orders[body.Order.ID] = &entry{order: body.Order, begun: now}
		return Valid
	case KindSettled:
		body, ok := decode[Settled](rec)
		if !ok || !l.byLeader(rec, body.Fence) || l.orders[body.Order] == nil {
			return Void
		}
		l.orders[body.Order].settled = now
		return Valid
	}
	return Foreign
}

func (l *Ledger) byLeader(rec galenastair.Record, f galenastair.Fence) bool {
	return rec.Author == string(l.leader.ID) && f == l.leader.Fence
}

func (l *Ledger) follow(now time.Time, leader Leader) {
	if leader == l.leader {
		return
	}
	l.leader = leader
	for _, e := range l.orders {
		if e.superseded.IsZero() {
			e.superseded = now
		}
	}
}

// Report takes in a report that was taken at or after at: the moment of asking the
// engine itself, less the age that it gives. Reports passed on by others will not
// do, since a connection that was silent for a while makes an old one look new.
func (l *Ledger) Report(at time.Time, r galenastair.EngineReport) {
	a := l.accounts[r.BackendServer]
	if a == nil {
		a = &account{}
		l.accounts[r.BackendServer] = a
	}
	if !at.After(a.at) {
		return
	}
	a.at, a.report = at, r
	for id, e := range l.orders {
		if e.order.BackendServer == r.BackendServer && l.shown(e, a) {
			delete(l.orders, id)
		}
	}
}

// shown says whether a report shows all that an order will ever do.
func (l *Ledger) shown(e *entry, a *account) bool {
	if !e.settled.IsZero() && a.at.After(e.settled) {
		return true
	}
	return e.unrecorded && (a.refuses(e.order.Fence) || a.at.Sub(e.begun) > l.life)
}

// refuses says whether orders of a fence that have not arrived never will.
func (a *account) refuses(f galenastair.Fence) bool {
	return a.report.ChecksFence && a.report.HighestFence > f
}

// Forget drops a backend server that is gone for good; its orders stay until settled.
func (l *Ledger) Forget(id galenastair.BackendServerID) { delete(l.accounts, id) }

// Pending returns the orders for a backend server that may still take effect.
func (l *Ledger) Pending(id galenastair.BackendServerID) []galenastair.Order {
	var out []galenastair.Order
	for _, e := range l.orders {
		if e.order.BackendServer == id {
			out = append(out, e.order)
		}
	}
	slices.SortFunc(out, func(a, b galenastair.Order) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// Begun returns when an order was decided on, if this process did, or else when this process
// learnt of it; zero if it is not pending.
func (l *Ledger) Begun(id galenastair.OrderID) time.Time {
	if e := l.orders[id]; e != nil {
		return e.begun
	}
	return time.Time{}
}

// Open says whether an order is recorded and not settled.
func (l *Ledger) Open(id galenastair.OrderID) bool {
	e := l.orders[id]
	return e != nil && e.settled.IsZero()
}

// Settleable returns the former leaders' orders that can be settled now, and why.
func (l *Ledger) Settleable(now time.Time) []Settled {
	var out []Settled
	for id, e := range l.orders {
		if e.unrecorded || !e.settled.IsZero() || e.superseded.IsZero() {
			continue
		}
		a := l.accounts[e.order.BackendServer]
		switch {
		case a != nil && a.refuses(e.order.Fence):
			out = append(out, Settled{id, l.leader.Fence, Superseded})
		case now.Sub(e.superseded) >= l.life:
			out = append(out, Settled{id, l.leader.Fence, Expired})
		}
	}
	slices.SortFunc(out, func(a, b Settled) int { return cmp.Compare(a.Order, b.Order) })
	return out
}

// Snapshot returns the orders not yet settled; equal records give equal snapshots.
func (l *Ledger) Snapshot() (json.RawMessage, error) {
	var orders []galenastair.Order
	for _, e := range l.orders {
		if e.settled.IsZero() && !e.unrecorded {
			orders = append(orders, e.order)
		}
	}
	slices.SortFunc(orders, func(a, b galenastair.Order) int { return cmp.Compare(a.ID, b.ID) })
	return json.Marshal(orders)
}

// Restore replaces the orders by those of a snapshot, but for those that only this
// process knows. Orders settled just before it are not in it, so reports from before
// now no longer count.
func (l *Ledger) Restore(now time.Time, raw json.RawMessage, leader Leader) error {
	var orders []galenastair.Order
	if raw != nil {
		if err := json.Unmarshal(raw, &orders); err != nil {
			return err
		}
	}
	maps.DeleteFunc(l.orders, func(_ galenastair.OrderID, e *entry) bool { return !e.unrecorded })
	clear(l.accounts)
	l.restored = now
	l.leader = leader
	for _, o := range orders {
		e := &entry{order: o, begun: now}
		if o.Fence != leader.Fence {
			e.superseded = now
		}
		l.orders[o.ID] = e
	}
	return nil
}
