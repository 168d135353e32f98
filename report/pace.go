package report

import "time"

// These share out the 6 KB/s that a node may spend on all control: 3.5 KB/s go
// to reports, the rest to heartbeats, rate and the log. At the target size this
// makes reports some seconds old, which routing bears as it counts its own
// requests in flight; reading faster would break the budget, not the routing.
const (
	tellBudget = 2000
	readBudget = 1500
	// messageBytes is a message's request and answer without its news.
	messageBytes = 400
	// newsBytes is the news of one engine without its state.
	newsBytes = 22
	// unchangedBytes names an engine that is read and unchanged.
	unchangedBytes = 4
	// reportBytes is one report of an engine with about six models loaded, with headers.
	reportBytes = 1500
	// changedShare is the part of engines whose load changes much between rounds.
	changedShare = 3
)

const (
	// defaultShortest bounds the work at small sizes, where the budget allows more.
	defaultShortest = time.Second
	// longest keeps news useful at sizes beyond the target.
	longest = 20 * time.Second
)

// tellPeriod returns how often news is told, from the size of the round.
func tellPeriod(g grid, engines int) time.Duration {
	news := engines * (newsBytes + (changedShare-1)*unchangedBytes) / changedShare / max(g.width, 1)
	round := (len(g.row) + len(g.column)) * messageBytes
	round += len(g.column) * news
	// what is sent to others comes from others as well
	return pace(2*round, tellBudget)
}

// readPeriod returns how often each engine is read by the reader of so many.
func readPeriod(engines int) time.Duration {
	return pace(engines*reportBytes, readBudget)
}

func pace(bytes, perSecond int) time.Duration {
	d := time.Duration(bytes) * time.Second / time.Duration(perSecond)
	return min(d, longest)
}
