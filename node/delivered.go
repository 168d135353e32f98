package node

import (
	"time"

	"galenastair/claim"
)

// leaderChangeTime is longer than the time from the loss of a leader to the first exchange with the next
// one. What happened since then may have been reported to the lost leader alone.
const leaderChangeTime = 5 * time.Second

// deliveredCrashes holds the crashes that this instance has reported lately. Those that others have reported
// are not repeated: after the loss of many backend servers, each instance knows those of the whole fleet.
type deliveredCrashes struct {
	reports []deliveredReport
}

type deliveredReport struct {
	at         time.Time
	crashes    []claim.Crash
	partEvents []claim.PartEvent
}

// add records what a leader has received.
func (d *deliveredCrashes) add(now time.Time, crashes []claim.Crash, events []claim.PartEvent) {
	for len(d.reports) > 0 && now.Sub(d.reports[0].at) >= leaderChangeTime {
		d.reports = d.reports[1:]
	}
	if len(crashes)+len(events) > 0 {
		d.reports = append(d.reports, deliveredReport{now, crashes, events})
	}
}

// recent returns what was delivered within leaderChangeTime, to be repeated to another leader.
func (d *deliveredCrashes) recent(now time.Time) (crashes []claim.Crash, events []claim.PartEvent) {
	for _, r := range d.reports {
		if now.Sub(r.at) < leaderChangeTime {
			crashes, events = append(crashes, r.crashes...), append(events, r.partEvents...)
		}
	}
	return crashes, events
}
