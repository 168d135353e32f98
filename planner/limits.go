package planner

import (
	"time"

	"galenastair"
	"galenastair/ratelimit"
)

// limitLife is how long what a backend server has named is told after any instance last said so.
const limitLife = 3 * time.Second

// namedLimit is the rate that a backend server has named last, to any instance.
type namedLimit struct {
	perSecond float64
	// at is when it was named, reported when an instance last told of it.
	at       time.Time
	reported time.Time
}

// noteLimits takes in what servers have named in answers to an instance.
func (p *Planner) noteLimits(now time.Time, limits []ratelimit.Limit) {
	for _, l := range limits {
		at := now.Add(-l.Age)
		known := p.limits[l.Server]
		before := known.perSecond
		if !at.Before(known.at) {
			known.perSecond, known.at = l.PerSecond, at
		}
		known.reported = now
		p.limits[l.Server] = known
		if known.perSecond != before {
			p.logger.Log("event", "limit named", "server", l.Server, "limit", known.perSecond, "before", before)
		}
	}
}

// currentLimits returns what instances have lately told of.
func (p *Planner) currentLimits(now time.Time) []ratelimit.Limit {
	var out []ratelimit.Limit
	for id, l := range p.limits {
		if now.Sub(l.reported) > limitLife {
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
