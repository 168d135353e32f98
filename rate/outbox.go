package rate

import (
	"maps"
	"slices"
	"time"

	"galenastair"
)

const (
	// maxReportDelay is how long most reports may wait. The sum of maxReportDelay and
	// returnDelay stays below LoanTTL, after which the holder counts a loan as spent.
	maxReportDelay = LoanTTL / 4
	// maxSmallReportDelay is how long reports on loans may wait that are a negligible
	// part of their share's burst. It does not matter if such a loan counts as spent
	// for a while.
	maxSmallReportDelay = 2 * LoanTTL
	// A loan of at least 1/largeLoanDivisor of its share's burst is reported at once,
	// and one below 1/smallLoanDivisor is negligible.
	largeLoanDivisor = 4
	smallLoanDivisor = 32
	// reportRetryTime is how long a report is sent again to a holder that does not
	// answer. By then the holder's lease has expired, and its successor does not know
	// the loans.
	reportRetryTime = 10 * time.Second
)

// reportBatch holds the queued reports to one holder.
type reportBatch struct {
	holder  galenastair.Peer
	reports map[LoanNumber]queuedReport
	due     time.Time
}

type queuedReport struct {
	report   Report
	queuedAt time.Time
}

// outbox holds the queued reports to all holders.
type outbox map[galenastair.InstanceID]*reportBatch

// add queues a report. Of two reports on one loan, the one with fewer spent tokens is
// kept.
func (o outbox) add(now time.Time, holder galenastair.Peer, r queuedReport, due time.Time) {
	batch := o[holder.ID]
	if batch == nil {
		batch = &reportBatch{holder: holder, reports: make(map[LoanNumber]queuedReport), due: due}
		o[holder.ID] = batch
	}
	if due.Before(batch.due) {
		batch.due = due
	}
	number := r.report.ID.Number
	if old, ok := batch.reports[number]; ok && old.report.Spent < r.report.Spent {
		return
	}
	if now.Sub(r.queuedAt) < reportRetryTime {
		batch.reports[number] = r
	}
}

// take removes and returns the batch for one holder.
func (o outbox) take(id galenastair.InstanceID) *reportBatch {
	batch := o[id]
	delete(o, id)
	return batch
}

// takeDue removes and returns all due batches.
func (o outbox) takeDue(now time.Time) []*reportBatch {
	var list []*reportBatch
	for id, batch := range o {
		if !now.Before(batch.due) {
			list = append(list, batch)
			delete(o, id)
		}
	}
	return list
}

func (o *reportBatch) sorted() []Report {
	if o == nil {
		return nil
	}
	var reports []Report
	for _, number := range slices.Sorted(maps.Keys(o.reports)) {
		reports = append(reports, o.reports[number].report)
	}
	return reports
}
