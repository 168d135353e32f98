package report

import "time"

// Reports get 3.5 KB/s of the 6 KB/s that an instance may spend on all control traffic;
// the rest is for heartbeats, rate limits and the log. At the target size reports are
// then some seconds old. Routing works with that, as it counts its own requests in
// flight; polling more often would exceed the budget without better routing.
const (
	sendBudgetBytesPerSecond = 2000
	pollBudgetBytesPerSecond = 1500
	// messageOverheadBytes is the size of a message's request and response without updates.
	messageOverheadBytes = 400
	// updateBytes is the size of an update without state.
	updateBytes = 22
	// unchangedBytes is the size of an entry for an unchanged engine.
	unchangedBytes = 4
	// reportBytes is the size, with headers, of a report of an engine with about six loaded models.
	reportBytes = 1500
	// changedDivisor assumes that the load of one in three engines changes significantly
	// between two rounds.
	changedDivisor = 3
)

const (
	// defaultMinInterval bounds the load in small regions, where the budget would allow more.
	defaultMinInterval = time.Second
	// maxInterval bounds the age of reports in regions larger than the target.
	maxInterval = 20 * time.Second
)

// sendInterval returns the interval of rounds that keeps to the budget, from the size of
// a round.
func sendInterval(g grid, engines int) time.Duration {
	updates := engines * (updateBytes + (changedDivisor-1)*unchangedBytes) / changedDivisor / max(g.rowCount, 1)
	round := (len(g.row) + len(g.column)) * messageOverheadBytes
	round += len(g.column) * updates
	// an instance receives as much as it sends
	return intervalFor(2*round, sendBudgetBytesPerSecond)
}

// pollInterval returns the interval at which an instance polls each of its engines.
func pollInterval(engines int) time.Duration {
	return intervalFor(engines*reportBytes, pollBudgetBytesPerSecond)
}

func intervalFor(bytes, perSecond int) time.Duration {
	d := time.Duration(bytes) * time.Second / time.Duration(perSecond)
	return min(d, maxInterval)
}
