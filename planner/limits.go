package planner

import (
	"time"

	"galenastair"
	"galenastair/ratelimit"
)

// limitTTL is how long a rate limit counts after an answer advertised it. Without expiry, an engine
// that no longer receives requests would keep its limit forever, and no model would be loaded
// there.
const limitTTL = 10 * time.Second

// advertisedLimit is the latest rate limit that a backend server advertised to any instance.
type advertisedLimit struct {
	perSecond float64
	at        time.Time
}

// observeLimits records the rate limits that servers advertised to one instance.
func (p *Planner) observeLimits(now time.Time, limits []ratelimit.Limit) {
	for _, l := range limits {
		at, known := now.Add(-l.Age), p.limits[l.Server]
		if l.Age > limitTTL || at.Before(known.at) {
			continue
		}
		if known.perSecond != l.PerSecond {
			p.logger.Log("event", "limit named", "server", l.Server, "limit", l.PerSecond, "before", known.perSecond)
		}
		p.limits[l.Server] = advertisedLimit{l.PerSecond, at}
	}
}

// currentLimits returns the rate limits that have not expired, and removes the others.
func (p *Planner) currentLimits(now time.Time) []ratelimit.Limit {
	var out []ratelimit.Limit
	for id, l := range p.limits {
		if now.Sub(l.at) > limitTTL {
			delete(p.limits, id)
			continue
		}
		out = append(out, ratelimit.Limit{Server: id, PerSecond: l.perSecond, Age: now.Sub(l.at)})
	}
	return out
}

// isRateLimited reports whether an engine currently has a rate limit.
func (s *service) isRateLimited(e *engine) bool { return s.limits[e.server.ID].perSecond > 0 }

// preferred reports whether requests go to an engine by default. Others are used only if there is
// no preferred one.
func (s *service) preferred(e *engine) bool { return !e.server.Leaving && !s.isRateLimited(e) }

// Admit decides when a request may be sent to a rate-limited server.
func (p *Planner) Admit(limit ratelimit.Limit, maxWait time.Duration) (ratelimit.Decision, error) {
	if !p.lease.Holds() {
		return ratelimit.Decision{}, ErrNotLeader
	}
	return p.limiter.Admit(p.clock.Now(), limit, maxWait), nil
}

// fleetIndex returns the index of an instance among those that report.
func (p *Planner) fleetIndex(id galenastair.InstanceID) int {
	n := 0
	for other := range p.reports {
		if other < id {
			n++
		}
	}
	return n
}
