package planner

import (
	"slices"
	"time"

	"galenastair"
	"galenastair/claim"
)

// maxPartReports bounds the events of prompt parts that are announced at a time.
const maxPartReports = 1024

// partReport is an event of a prompt part that an instance has reported.
type partReport struct {
	claim.PartEvent
	from     galenastair.InstanceID
	at       time.Time
	sequence int64
}

// addPartEvents adds the events of a report that are not being announced yet.
func (p *Planner) addPartEvents(now time.Time, r Report) {
	for _, e := range r.PartEvents {
		if p.knowsPartEvent(e) {
			continue
		}
		if e.IsClear() {
			// the crashes before are void
			p.partEvents = slices.DeleteFunc(p.partEvents, func(o partReport) bool { return o.Part == e.Part })
		}
		if len(p.partEvents) >= maxPartReports {
			continue
		}
		p.lastChange++
		p.partEvents = append(p.partEvents, partReport{e, r.Instance, now, p.lastChange})
	}
}

// knowsPartEvent reports whether a crash is being announced, or a part was cleared after its last crash.
func (p *Planner) knowsPartEvent(e claim.PartEvent) bool {
	for i := len(p.partEvents) - 1; i >= 0; i-- {
		if o := p.partEvents[i]; o.Part == e.Part && (e.IsClear() || o.Server == e.Server) {
			return o.Server == e.Server
		}
	}
	return false
}

// partEventsSince returns the events that an instance has not received yet.
func (p *Planner) partEventsSince(now time.Time, r Report) []claim.PartEvent {
	var out []claim.PartEvent
	if r.LastChange < p.expiredPart {
		out = p.suspected(now)
	}
	for _, e := range p.partEvents {
		if e.from != r.Instance && e.sequence > r.LastChange {
			out = append(out, e.PartEvent)
		}
	}
	return out
}

func (p *Planner) expirePartEvents(now time.Time) {
	for len(p.partEvents) > 0 && now.Sub(p.partEvents[0].at) > changeTTL {
		p.expiredPart = p.partEvents[0].sequence
		p.partEvents = p.partEvents[1:]
	}
}

// suspectedCheckpoint returns the crashes under suspected parts for the checkpoint.
func (p *Planner) suspectedCheckpoint(now time.Time) []claim.PartEvent {
	suspected := p.suspected(now)
	suspected = slices.Clone(suspected[:min(len(suspected), maxStoredCrashes)])
	for i := range suspected {
		suspected[i].At = suspected[i].At.Round(0)
	}
	return suspected
}
