package pool

import (
	"strings"
	"time"

	"galenastair"
)

// cost is the engine time that requests for a model take, as observed by this instance.
type cost struct {
	// prefill is the time to the first event in seconds per prompt token, including the effect of
	// prefix caching.
	prefill mean
	// decode is the time from the first event to the last in seconds per token of the requested
	// output limit.
	decode mean
}

// mean is a running mean of observations.
type mean struct {
	value   float64
	samples int
}

const (
	// meanWindow is the number of observations that a mean covers.
	meanWindow = 20
	// maxSampleFactor caps an observation at this multiple of the mean. A stalled engine or
	// another request's queue says nothing about the model.
	maxSampleFactor = 3
	// initialDecodeTime is the assumed time per output token until an answer is observed. The
	// assumed prefill speed is prefillTokensPerSecond.
	initialDecodeTime = 2 * time.Millisecond
)

func (m *mean) observe(v float64) {
	m.samples = min(m.samples+1, meanWindow)
	m.value += (min(v, maxSampleFactor*m.value) - m.value) / float64(m.samples)
}

// initialCost is the cost that is assumed until an answer of any model is observed.
func initialCost() cost {
	return cost{prefill: mean{value: 1.0 / prefillTokensPerSecond}, decode: mean{value: initialDecodeTime.Seconds()}}
}

// baseModel returns the model that an adapter runs on, or the model itself.
func baseModel(name galenastair.ModelName) galenastair.ModelName {
	base, _, _ := strings.Cut(string(name), "/")
	return galenastair.ModelName(base)
}

// costOf returns the cost of a model, or the mean over all models if it has no observations.
func (p *Pool) costOf(q *Query) *cost {
	if c := p.costs[baseModel(q.Model)]; c != nil {
		return c
	}
	return &p.overall
}

// observedCost returns the cost of a model to add an observation to. It starts with the mean over
// all models.
func (p *Pool) observedCost(q *Query) *cost {
	base := baseModel(q.Model)
	if p.costs[base] == nil {
		p.costs[base] = &cost{prefill: mean{value: p.overall.prefill.value}, decode: mean{value: p.overall.decode.value}}
	}
	return p.costs[base]
}

// observePrefill records the time to the first event. It counts only if no other prompt was
// pending when the request was sent, as the time would otherwise include those prompts.
func (a *Attempt) observePrefill(now time.Time) {
	if !a.unqueued || a.query.PromptTokens <= 0 {
		return
	}
	seconds := now.Sub(a.beganAt).Seconds() / float64(a.query.PromptTokens) / a.factor
	a.pool.observedCost(&a.query).prefill.observe(seconds)
	a.pool.overall.prefill.observe(seconds)
}

// observeDecode records the time from the first event to the end of an answer.
func (a *Attempt) observeDecode(now time.Time) {
	if !a.query.engine() || a.query.OutputTokens <= 0 {
		return
	}
	seconds := now.Sub(a.startedAt).Seconds() / float64(a.query.OutputTokens) / a.factor
	a.pool.observedCost(&a.query).decode.observe(seconds)
	a.pool.overall.decode.observe(seconds)
}

// EngineTime predicts how long a request occupies one engine: the prefill time plus the decode
// time divided by the number of slots. Speeds are observed, since with fixed ones an idle engine
// could count as overloaded, and copies would be moved needlessly.
func (p *Pool) EngineTime(q Query) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.costOf(&q)
	seconds := float64(q.PromptTokens) * c.prefill.value
	if slots := p.slotsOf(q.Service); slots > 0 {
		seconds += float64(q.OutputTokens) * c.decode.value / float64(slots)
	}
	return time.Duration(seconds * float64(time.Second))
}

// slotsOf returns how many requests a server of the service runs concurrently.
func (p *Pool) slotsOf(s galenastair.ServiceName) int {
	for _, b := range p.byService[s] {
		if b.Slots > 0 {
			return b.Slots
		}
	}
	return 0
}
