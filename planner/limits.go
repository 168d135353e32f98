package planner

import (
	"time"

	"galenastair"
	"galenastair/ratelimit"
)

// limitLife is how long a limit counts after an answer has named it: an engine that is asked for
// nothing any more would keep it for good, and get no load.
const limitLife = 10 * time.Second

// namedLimit is the rate that a backend server has named last, to any instance.
type namedLimit struct {
	perSecond float64
	at        time.Time
}

// noteLimits takes in what servers have named in answers to an instance.
func (p *Planner) noteLimits(now time.Time, limits []ratelimit.Limit) {
	for _, l := range limits {
		at, known := now.Add(-l.Age), p.limits[l.Server]
		if l.Age > limitLife || at.Before(known.at) {
			continue
		}
		if known.perSecond != l.PerSecond {
			p.logger.Log("event", "limit named", "server", l.Server, "limit", l.PerSecond, "before", known.perSecond)
		}
		p.limits[l.Server] = namedLimit{l.PerSecond, at}
	}
}

// currentLimits returns what servers have lately named.
func (p *Planner) currentLimits(now time.Time) []ratelimit.Limit {
	var out []ratelimit.Limit
	for id, l := range p.limits {
		if now.Sub(l.at) > limitLife {
			delete(p.limits, id)
			continue
		}
		out = append(out, ratelimit.Limit{Server: id, PerSecond: l.perSecond, Age: now.Sub(l.at)})
	}
	return out
}

// limited says whether an engine takes few requests for now.
func (s *site) limited(e *engine) bool { return s.limits[e.server.ID].perSecond > 0 }

// preferred says whether an engine is one to send requests to: others do only where none is.
func (s *site) preferred(e *engine) bool { return !e.server.Leaving && !s.limited(e) }

// Admit answers for a request that is to go to a server with a limit.
func (p *Planner) Admit(limit ratelimit.Limit, patience time.Duration) (ratelimit.Verdict, error) {
	if !p.lease.Holds() {
		return ratelimit.Verdict{}, ErrNotPlanner
	}
	return p.limiter.Admit(p.clock.Now(), limit, patience), nil
}

// index returns an instance's place among those that report.
func (p *Planner) index(id galenastair.InstanceID) int {
	n := 0
	for other := range p.reports {
		if other < id {
			n++
		}
	}
	return n
}
