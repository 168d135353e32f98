package pool

import (
	"time"

	"galenastair"
)

// plainEndMargin is the multiple of the predicted latency of a plain service that must be left before
// its server ends. The prediction is a mean, which many answers exceed.
const plainEndMargin = 2

// endsBeforeServer reports whether a request sent now is expected to end before its server does, if the
// server has announced when that is. Of an answer of unknown length nothing can be expected.
func (p *Pool) endsBeforeServer(now time.Time, b *backend, q *Query) bool {
	switch {
	case b.GoneAt.IsZero():
		return true
	case q.engine() && q.OutputTokens <= 0:
		return false
	}
	return now.Add(p.expectedDuration(now, b, q)).Before(b.GoneAt)
}

// expectedDuration returns the expected time from the sending of a request to the end of its answer.
func (p *Pool) expectedDuration(now time.Time, b *backend, q *Query) time.Duration {
	first := p.predictLatency(now, b, q)
	if !q.engine() {
		return plainEndMargin * first
	}
	return first + p.expectedDecode(b, q)
}

// expectedDecode returns the expected time from the first event of an answer to its end.
func (p *Pool) expectedDecode(b *backend, q *Query) time.Duration {
	return time.Duration(float64(q.OutputTokens) * p.costOf(q).decode.value * float64(b.factor) * float64(time.Second))
}

// EndsBeforeServer reports whether a request that is about to be sent is expected to end before its
// server does.
func (p *Pool) EndsBeforeServer(now time.Time, id galenastair.BackendServerID, q Query) bool {
	q.keys = prefixKeys(q.RequestHints)
	p.mu.Lock()
	defer p.mu.Unlock()
	b := p.backends[id]
	return b == nil || p.endsBeforeServer(now, b, &q)
}

// ServerEnd returns the earliest time at which the server of an answer that has begun ends, and the time
// at which the answer is expected to end. It returns false if the server has announced no end.
func (a *Attempt) ServerEnd() (goneAt, answerEnd time.Time, announced bool) {
	a.pool.mu.Lock()
	defer a.pool.mu.Unlock()
	if a.backend == nil || !a.started || a.backend.GoneAt.IsZero() {
		return time.Time{}, time.Time{}, false
	}
	return a.backend.GoneAt, a.startedAt.Add(a.pool.expectedDecode(a.backend, &a.query)), true
}

// ServerEnded reports whether the time at which the server announced to end has passed.
func (a *Attempt) ServerEnded(now time.Time) bool {
	a.pool.mu.Lock()
	defer a.pool.mu.Unlock()
	b := a.backend
	return b != nil && !b.GoneAt.IsZero() && !now.Before(b.GoneAt)
}
