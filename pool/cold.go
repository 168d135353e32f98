package pool

import (
	"maps"
	"time"

	"galenastair"
	"galenastair/ratelimit"
)

// ColdStart describes the servers of a service that have just started.
type ColdStart struct {
	// Duration is how long a server stays cold.
	Duration time.Duration
	// Rate is the number of requests per second that a cold server accepts from all instances
	// together; 0 is no limit.
	Rate float64
}

// SetColdStarts sets the cold starts of the services; a service that is missing has none.
func (p *Pool) SetColdStarts(s map[galenastair.ServiceName]ColdStart) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.coldStarts = maps.Clone(s)
}

func (b *backend) extendCold(until time.Time) {
	if until.After(b.coldUntil) {
		b.coldUntil = until
	}
}

// limitOf returns the rate limit of a server: the one that it advertises, or the one that its
// service has for cold servers if that is lower.
func (p *Pool) limitOf(now time.Time, b *backend) ratelimit.Limit {
	l := b.limit.withAge(now, b.ID)
	rate := p.coldStarts[b.Service].Rate
	if rate > 0 && now.Before(b.coldUntil) && (l.PerSecond == 0 || rate < l.PerSecond) {
		return ratelimit.Limit{Server: b.ID, PerSecond: rate}
	}
	return l
}
