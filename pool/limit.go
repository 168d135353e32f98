package pool

import (
	"time"

	"galenastair"
	"galenastair/ratelimit"
)

const (
	// limitProbeAge is the age of an advertised rate limit from which a request may go to the server
	// to find out whether the limit still applies, although other servers would answer sooner.
	limitProbeAge = 2 * time.Second
	// clearedLimitTTL is how long other instances are told that a limit has been cleared. It spans
	// several exchanges.
	clearedLimitTTL = 5 * time.Second
	// peerAgeSkew bounds the error of an age reported by another instance.
	peerAgeSkew = 100 * time.Millisecond
	// minThrottle keeps a request that was turned away from asking again at once.
	minThrottle = 20 * time.Millisecond
)

// limit is the latest rate limit that a server advertised.
type limit struct {
	perSecond float64
	// at is when the limit was advertised or cleared; zero if there has never been one.
	at time.Time
	// observed is set if the limit comes from an answer to this instance.
	observed bool
}

// ObserveLimit records the rate limit in an answer, 0 for none. The request was sent at the time
// sent: an answer to a request sent before the limit was advertised does not clear it.
func (p *Pool) ObserveLimit(now time.Time, id galenastair.BackendServerID, perSecond float64, sent time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	b := p.backends[id]
	switch {
	case b == nil:
	case perSecond > 0:
		b.limit = limit{perSecond, now, true}
	case b.limit.perSecond > 0 && sent.After(b.limit.at):
		b.limit = limit{0, now, true}
	}
}

// Limits returns the rate limits that servers have advertised in answers to this instance.
func (p *Pool) Limits(now time.Time) []ratelimit.Limit {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []ratelimit.Limit
	for id, b := range p.backends {
		expired := b.limit.perSecond == 0 && now.Sub(b.limit.at) > clearedLimitTTL
		if b.limit.observed && !expired {
			out = append(out, b.limit.withAge(now, id))
		}
	}
	return out
}

func (l limit) withAge(now time.Time, id galenastair.BackendServerID) ratelimit.Limit {
	return ratelimit.Limit{Server: id, PerSecond: l.perSecond, Age: now.Sub(l.at)}
}

// SetPeerLimits records the rate limits that servers have advertised to any instance.
func (p *Pool) SetPeerLimits(now time.Time, limits []ratelimit.Limit) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range limits {
		at := now.Add(-l.Age)
		if b := p.backends[l.Server]; b != nil && at.After(b.limit.at.Add(peerAgeSkew)) {
			b.limit = limit{perSecond: l.PerSecond, at: at}
		}
	}
}

// Throttle keeps requests away from a server that accepts no more for a while.
func (p *Pool) Throttle(now time.Time, id galenastair.BackendServerID, d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if b := p.backends[id]; b != nil {
		b.throttledUntil = now.Add(max(minThrottle, d))
	}
}
