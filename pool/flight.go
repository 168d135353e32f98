package pool

import (
	"time"

	"galenastair"
)

// Attempt is a request that has been sent to a backend server.
type Attempt struct {
	pool    *Pool
	backend *backend
	query   Query
	beganAt time.Time
	// nominal and factor are the predicted time and the speed factor when the request was sent.
	nominal time.Duration
	factor  float64
	started bool
	ended   bool
	// unqueued reports that no other prompt was pending at the server when the request was sent.
	unqueued bool
	// showsSpeed reports that the request had to wait for nothing at the server.
	showsSpeed bool
	// plainRatio is the ratio of actual to expected time of a request without a model. It counts once
	// the answer is known to be complete, as failures are fast.
	plainRatio float64
	startedAt  time.Time
}

// Result is the outcome of an attempt, as far as it says something about the server.
type Result int

// Results of an attempt.
const (
	// Succeeded is a complete answer, including an error that the request itself caused.
	Succeeded Result = iota
	// Failed is an answer that was cut off or invalid, or an attempt without an answer.
	Failed
	// Down means that the server refuses connections, so its process has ended.
	Down
	// ServerError is a complete answer that reports a failure of the server.
	ServerError
	// Full means that the server declined the request because it has no capacity.
	Full
	// Neutral says nothing about the server: the caller disconnected, or the request was invalid.
	Neutral
)

// Begin records a request that is about to be sent to a server.
func (p *Pool) Begin(now time.Time, id galenastair.BackendServerID, q Query) *Attempt {
	q.keys = prefixKeys(q.RequestHints)
	p.mu.Lock()
	defer p.mu.Unlock()
	a := &Attempt{pool: p, query: q, beganAt: now}
	b := p.backends[id]
	if b == nil {
		a.ended = true
		return a
	}
	a.backend = b
	a.nominal = b.nominal(now, &q)
	a.unqueued = q.engine() && b.pendingTokens == 0 && b.peerPendingTokens(now) < 1
	a.factor = float64(b.factor)
	a.showsSpeed = b.showsSpeed(now, a)
	b.inFlight++
	b.pendingTokens += q.PromptTokens
	if !q.NoRetry && b.health.mayProbe(now) {
		b.health.probing = true
	}
	b.health.sent(now)
	b.cache.add(q.keys)
	return a
}

// showsSpeed reports whether the time of an attempt that begins tells the server's speed: there is no
// other prompt, and no wait for a slot.
func (b *backend) showsSpeed(now time.Time, a *Attempt) bool {
	if b.Slots > 0 && float64(b.inFlight)+b.peerInFlight(now) >= float64(b.Slots) {
		return false
	}
	return a.unqueued || !a.query.engine()
}

// Started records the first event of a streamed answer, or the header of any other.
func (a *Attempt) Started(now time.Time) {
	a.pool.mu.Lock()
	defer a.pool.mu.Unlock()
	if a.ended || a.started {
		return
	}
	a.started, a.startedAt = true, now
	a.backend.pendingTokens -= a.query.PromptTokens
	a.backend.health.started(now)
	a.observePrefill(now)
	raw := float64(now.Sub(a.beganAt)) / float64(a.nominal)
	ratio := raw / a.factor
	modelRatio := a.pool.modelRatio(&a.query)
	switch raw /= modelRatio.value(now); {
	case !a.showsSpeed:
	case a.query.engine():
		a.observeSpeed(raw)
	default:
		a.plainRatio = raw
	}
	a.backend.ratio.observe(now, ratio/(a.backend.ratio.value(now)*modelRatio.value(now)), serverLearningRate)
	modelRatio.observe(now, ratio/(a.backend.ratio.value(now)*modelRatio.value(now)), modelLearningRate)
}

// End records the result and removes the attempt from its server.
func (a *Attempt) End(now time.Time, r Result) {
	a.pool.mu.Lock()
	defer a.pool.mu.Unlock()
	if a.ended {
		return
	}
	a.ended = true
	b := a.backend
	b.inFlight--
	if !a.started {
		b.pendingTokens -= a.query.PromptTokens
		b.health.awaitingFirstEvent = max(0, b.health.awaitingFirstEvent-1)
	}
	switch r {
	case Succeeded:
		if a.started {
			a.observeDecode(now)
		}
		if a.plainRatio > 0 {
			a.observeSpeed(a.plainRatio)
		}
		b.health.succeeded()
		b.downAt = time.Time{}
	case Failed:
		b.health.failed(now)
	case Down:
		b.health.failed(now)
		b.downAt = now
	case ServerError:
		b.health.serverError(now)
	case Full:
		b.fullUntil[a.query.Model] = now.Add(fullBackoff)
		b.health.probing = false
	case Neutral:
		b.health.probing = false
	}
}
