package ledger

import (
	"time"

	"galenastair"
)

// FenceConfirmed reports whether an engine checks fences and its last report shows f as the
// highest. It then rejects orders of former leaders, and the report shows the effect of all
// that it has accepted from them.
func (l *Ledger) FenceConfirmed(id galenastair.BackendServerID, f galenastair.Fence) bool {
	obs := l.reports[id]
	return l.HasCurrentReport(id) && obs.report.ChecksFence && obs.report.HighestFence == f
}

// AddUnrecorded adds an order of this process that has no record in the log. FenceConfirmed
// must hold for its engine, since a successor learns of the order from the engine alone.
func (l *Ledger) AddUnrecorded(now time.Time, o galenastair.Order) {
	l.orders[o.ID] = &pendingOrder{order: o, unrecorded: true, startedAt: now}
}

// EndUnrecorded ends an order that was added by AddUnrecorded. An answered order is kept until
// a report shows its effect; any other is dropped at once.
func (l *Ledger) EndUnrecorded(now time.Time, id galenastair.OrderID, why Settlement) {
	p := l.orders[id]
	if p == nil || !p.unrecorded {
		return
	}
	if why == Answered {
		p.settledAt = now
		return
	}
	delete(l.orders, id)
}
