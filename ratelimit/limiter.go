package ratelimit

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"galenastair"
)

const (
	// burstPeriod is the time for which an unused rate is saved up. What it saves can arrive together
	// with what another instance, by an older view, sends without asking.
	burstPeriod = 250 * time.Millisecond
	// idleTimeout is when the bucket of an unused server is dropped.
	idleTimeout = time.Minute
)

// Limit is the rate limit that a backend server has advertised, as known to an instance.
type Limit struct {
	Server galenastair.BackendServerID
	// PerSecond is the number of requests per second from all instances together; 0 if the server
	// no longer has a limit.
	PerSecond float64
	// Age is the time since the server advertised the limit.
	Age time.Duration
}

// Decision is the answer to an instance that wants to send a request.
type Decision struct {
	Granted bool
	// Delay is the time until the request may be sent if it was granted, and until there is room
	// if not.
	Delay time.Duration
}

// Limiter admits the requests of all instances to the servers with a limit. It is safe for
// concurrent use.
type Limiter struct {
	mu      sync.Mutex
	buckets map[galenastair.BackendServerID]*bucket
}

type bucket struct {
	tokens *rate.Limiter
	// setAt is when the server advertised the rate, and usedAt when it was last requested.
	setAt  time.Time
	usedAt time.Time
}

// NewLimiter returns a limiter without servers.
func NewLimiter() *Limiter {
	return &Limiter{buckets: map[galenastair.BackendServerID]*bucket{}}
}

// Admit grants a request to a server if there is room within maxWait.
func (l *Limiter) Admit(now time.Time, limit Limit, maxWait time.Duration) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.bucketOf(now, limit)
	r := b.tokens.ReserveN(now, 1)
	wait := r.DelayFrom(now)
	if wait > maxWait {
		r.CancelAt(now)
		return Decision{Delay: wait}
	}
	return Decision{Granted: true, Delay: wait}
}

// bucketOf returns a server's bucket, updated to the newest rate that the server has advertised.
func (l *Limiter) bucketOf(now time.Time, limit Limit) *bucket {
	setAt := now.Add(-limit.Age)
	b := l.buckets[limit.Server]
	if b == nil {
		l.expire(now)
		b = &bucket{tokens: newBucket(now, limit.PerSecond), setAt: setAt}
		l.buckets[limit.Server] = b
	}
	if setAt.After(b.setAt) {
		b.setAt = setAt
		b.tokens.SetLimitAt(now, rate.Limit(limit.PerSecond))
		b.tokens.SetBurstAt(now, burst(limit.PerSecond))
	}
	b.usedAt = now
	return b
}

// newBucket returns an empty bucket.
func newBucket(now time.Time, perSecond float64) *rate.Limiter {
	size := burst(perSecond)
	tokens := rate.NewLimiter(rate.Limit(perSecond), size)
	tokens.AllowN(now, size)
	return tokens
}

func burst(perSecond float64) int { return max(1, int(perSecond*burstPeriod.Seconds())) }

func (l *Limiter) expire(now time.Time) {
	for id, b := range l.buckets {
		if now.Sub(b.usedAt) > idleTimeout {
			delete(l.buckets, id)
		}
	}
}

// Reset drops all servers, as at the start of a term.
func (l *Limiter) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.buckets)
}
