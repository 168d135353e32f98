package ledger

import (
	"time"

	"galenastair"
)

// Raised says whether an engine checks fences and shows a leader's own as the highest:
// nothing of a former leader arrives there any more, and the report shows all that has.
func (l *Ledger) Raised(id galenastair.BackendServerID, f galenastair.Fence) bool {
	a := l.accounts[id]
	return l.Known(id) && a.report.ChecksFence && a.report.HighestFence == f
}

// Expect counts an order of this process that stands in no record. Only an engine that
// Raised says yes of may be given one: a successor learns of it from the engine alone.
func (l *Ledger) Expect(now time.Time, o galenastair.Order) {
	l.orders[o.ID] = &entry{order: o, unrecorded: true, begun: now}
}

// End notes how an order that stands in no record ended. One that an engine may have
// carried out is counted until a report shows what it did.
func (l *Ledger) End(now time.Time, id galenastair.OrderID, why Settlement) {
	e := l.orders[id]
	if e == nil || !e.unrecorded {
		return
	}
	if why == Answered {
		e.settled = now
		return
	}
	delete(l.orders, id)
}
