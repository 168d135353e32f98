package planner

import (
	"slices"
	"time"

	"galenastair"
	"galenastair/claim"
)

// maxCrashReports bounds the crashes that are announced at a time. More at once come from the
// loss of many backend servers, and not from one request.
const maxCrashReports = 1024

// crashReport is a crash that an instance has reported.
type crashReport struct {
	claim.Crash
	from     galenastair.InstanceID
	at       time.Time
	sequence int64
}

// addCrashes adds the crashes of a report that are not being announced yet.
func (p *Planner) addCrashes(now time.Time, r Report) {
	for _, c := range r.Crashes {
		if p.knowsCrash(c) {
			continue
		}
		if c.IsClear() {
			// the crashes before are void
			p.crashes = slices.DeleteFunc(p.crashes, func(o crashReport) bool { return o.Digest == c.Digest })
		}
		if len(p.crashes) >= maxCrashReports {
			continue
		}
		p.lastChange++
		p.crashes = append(p.crashes, crashReport{c, r.Instance, now, p.lastChange})
	}
}

// knowsCrash reports whether a crash is being announced, or a request was cleared after its last crash.
func (p *Planner) knowsCrash(c claim.Crash) bool {
	for i := len(p.crashes) - 1; i >= 0; i-- {
		if o := p.crashes[i]; o.Digest == c.Digest && (c.IsClear() || o.Server == c.Server) {
			return o.Server == c.Server && c.Server != ""
		}
	}
	return false
}

// crashesSince returns the crashes that an instance has not received yet.
func (p *Planner) crashesSince(now time.Time, r Report) []claim.Crash {
	var out []claim.Crash
	if r.LastChange < p.expiredCrash {
		out = p.refused(now)
	}
	for _, c := range p.crashes {
		if c.from != r.Instance && c.sequence > r.LastChange {
			out = append(out, c.Crash)
		}
	}
	return out
}

// maxStoredCrashes bounds the crashes in the checkpoint to a few KB.
const maxStoredCrashes = 64

// refusedCheckpoint returns the crashes of the refused requests for the checkpoint, and when they
// last changed.
func (p *Planner) refusedCheckpoint(now time.Time) ([]claim.Crash, time.Time) {
	refused := p.refused(now)
	refused = refused[:min(len(refused), maxStoredCrashes)]
	if !slices.Equal(refused, p.storedRefused) {
		p.storedRefused, p.storedRefusedAt = refused, now.Round(0)
	}
	return p.storedRefused, p.storedRefusedAt
}
