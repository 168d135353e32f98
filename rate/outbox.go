package rate

import (
	"maps"
	"slices"
	"time"

	"galenastair"
)

const (
	// reportAfter is how long most reports wait; together with returnAfter it
	// stays within LoanTerm, after which the giver counts a loan as spent.
	reportAfter = LoanTerm / 4
	// reportAtLast is how long reports on loans wait whose whole is next to
	// nothing for their share: it does not matter if it counts as spent for a while.
	reportAtLast = 2 * LoanTerm
	// largePart and smallPart say which parts of a share's burst count as much and as next to nothing.
	largePart = 4
	smallPart = 32
	// reportLife is how long reports are repeated to a holder that does not
	// answer; by then it has lapsed, and its successor knows nothing of the loans.
	reportLife = 10 * time.Second
)

// outgoing collects the reports to one holder.
type outgoing struct {
	holder  galenastair.Peer
	reports map[LoanNumber]queued
	due     time.Time
}

type queued struct {
	report Report
	since  time.Time
}

// outbox collects the reports to all holders.
type outbox map[galenastair.InstanceID]*outgoing

// add queues a report; of two for one loan the one that gives back more stands.
func (o outbox) add(now time.Time, p galenastair.Peer, q queued, due time.Time) {
	out := o[p.ID]
	if out == nil {
		out = &outgoing{holder: p, reports: make(map[LoanNumber]queued), due: due}
		o[p.ID] = out
	}
	if due.Before(out.due) {
		out.due = due
	}
	number := q.report.ID.Number
	if old, ok := out.reports[number]; ok && old.report.Spent < q.report.Spent {
		return
	}
	if now.Sub(q.since) < reportLife {
		out.reports[number] = q
	}
}

// take empties the box of one holder.
func (o outbox) take(id galenastair.InstanceID) *outgoing {
	out := o[id]
	delete(o, id)
	return out
}

// dueBy takes out what is due.
func (o outbox) dueBy(now time.Time) []*outgoing {
	var list []*outgoing
	for id, out := range o {
		if !now.Before(out.due) {
			list = append(list, out)
			delete(o, id)
		}
	}
	return list
}

func (o *outgoing) list() []Report {
	if o == nil {
		return nil
	}
	var reports []Report
	for _, number := range slices.Sorted(maps.Keys(o.reports)) {
		reports = append(reports, o.reports[number].report)
	}
	return reports
}
