package ratelimit

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"galenastair"
)

const (
	// burstTime is how long an unused rate is saved up.
	burstTime = time.Second
	// idleTimeout is when a server that nobody asks for is forgotten.
	idleTimeout = time.Minute
)

// Limit is the rate that a backend server has named, as an instance knows it.
type Limit struct {
	Server galenastair.BackendServerID
	// PerSecond is the requests a second from all instances together; 0 if there is no limit
	// any more.
	PerSecond float64
	// Age is how long ago the server said so.
	Age time.Duration
}

// Verdict is the answer to an instance that wants to send a request.
type Verdict struct {
	Granted bool
	// Wait is when to send it if it was granted, else when there is room.
	Wait time.Duration
}

// Limiter admits the requests of all instances to the servers that name a limit.
type Limiter struct {
	mu      sync.Mutex
	buckets map[galenastair.BackendServerID]*bucket
}

type bucket struct {
	tokens *rate.Limiter
	// named is when the server named the rate, used when it was last asked for.
	named time.Time
	used  time.Time
}

// NewLimiter returns a limiter that knows no server.
func NewLimiter() *Limiter {
	return &Limiter{buckets: map[galenastair.BackendServerID]*bucket{}}
}

// Admit grants a request to a server if there is room within the patience.
func (l *Limiter) Admit(now time.Time, limit Limit, patience time.Duration) Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.bucketOf(now, limit)
	r := b.tokens.ReserveN(now, 1)
	wait := r.DelayFrom(now)
	if wait > patience {
		r.CancelAt(now)
		return Verdict{Wait: wait}
	}
	return Verdict{Granted: true, Wait: wait}
}

// bucketOf returns a server's bucket with the newest rate that it has named.
func (l *Limiter) bucketOf(now time.Time, limit Limit) *bucket {
	named := now.Add(-limit.Age)
	b := l.buckets[limit.Server]
	if b == nil {
		l.expire(now)
		b = &bucket{tokens: newBucket(now, limit.PerSecond), named: named}
		l.buckets[limit.Server] = b
	}
	if named.After(b.named) {
		b.named = named
		b.tokens.SetLimitAt(now, rate.Limit(limit.PerSecond))
		b.tokens.SetBurstAt(now, burst(limit.PerSecond))
	}
	b.used = now
	return b
}

// newBucket returns an empty bucket.
func newBucket(now time.Time, perSecond float64) *rate.Limiter {
	size := burst(perSecond)
	tokens := rate.NewLimiter(rate.Limit(perSecond), size)
	tokens.AllowN(now, size)
	return tokens
}

func burst(perSecond float64) int { return max(1, int(perSecond*burstTime.Seconds())) }

func (l *Limiter) expire(now time.Time) {
	for id, b := range l.buckets {
		if now.Sub(b.used) > idleTimeout {
			delete(l.buckets, id)
		}
	}
}

// Reset forgets all servers, as at the begin of a term.
func (l *Limiter) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.buckets)
}
