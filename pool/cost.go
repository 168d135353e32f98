package pool

import (
	"strings"
	"time"

	"galenastair"
)

// cost is what a model's requests take of an engine, as this instance has observed.
type cost struct {
	// read is the seconds until the first event for each token of the prompt, with what
	// engines keep of prompts taken in.
	read mean
	// run is the seconds from the first event to the last for each token of output that
	// a request may take.
	run mean
}

// mean follows a figure that is observed again and again.
type mean struct {
	value   float64
	samples int
}

const (
	// meanSamples is over how many observations a mean looks back.
	meanSamples = 20
	// oddSample is how many times the mean a single observation counts at most: an
	// engine that stands still, or queues of others, say nothing of the model.
	oddSample = 3
	// firstRun is a guess of a token's time in a batch, until an answer has come; that of
	// its reading is readPerSecond.
	firstRun = 2 * time.Millisecond
)

func (m *mean) learn(v float64) {
	m.samples = min(m.samples+1, meanSamples)
	m.value += (min(v, oddSample*m.value) - m.value) / float64(m.samples)
}

// firstCost is a guess, until the first answer of any model.
func firstCost() cost {
	return cost{read: mean{value: 1.0 / readPerSecond}, run: mean{value: firstRun.Seconds()}}
}

// baseOf is the model that an adapter runs on, or the model itself.
func baseOf(name galenastair.ModelName) galenastair.ModelName {
	base, _, _ := strings.Cut(string(name), "/")
	return galenastair.ModelName(base)
}

// costOf returns a model's cost; one of which no answer has come takes what models take
// here on the whole.
func (p *Pool) costOf(q *Query) *cost {
	base := baseOf(q.Model)
	if p.costs[base] == nil {
		p.costs[base] = &cost{read: mean{value: p.usual.read.value}, run: mean{value: p.usual.run.value}}
	}
	return p.costs[base]
}

// learnRead takes in a first event. Only that of a request for which nothing else waited to
// be read counts: else the time is that of others' prompts too.
func (f *Flight) learnRead(now time.Time) {
	if !f.first || f.query.Prompt <= 0 {
		return
	}
	took := now.Sub(f.begun).Seconds() / float64(f.query.Prompt)
	f.pool.costOf(&f.query).read.learn(took)
	f.pool.usual.read.learn(took)
}

// learnRun takes in the end of an answer.
func (f *Flight) learnRun(now time.Time) {
	if !f.query.engine() || f.query.Output <= 0 {
		return
	}
	took := now.Sub(f.startedAt).Seconds() / float64(f.query.Output)
	f.pool.costOf(&f.query).run.learn(took)
	f.pool.usual.run.learn(took)
}

// EngineTime foretells for how long a request keeps one engine busy: the time in which it
// reads the prompt, and a slot's part of the time in which it makes the answer. Speeds are
// observed: by a fixed one idle engines may count as overloaded, and copies are moved in vain.
func (p *Pool) EngineTime(q Query) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.costOf(&q)
	seconds := float64(q.Prompt) * c.read.value
	if slots := p.slotsOf(q.Service); slots > 0 {
		seconds += float64(q.Output) * c.run.value / float64(slots)
	}
	return time.Duration(seconds * float64(time.Second))
}

// slotsOf is how many requests a server of a service runs together.
func (p *Pool) slotsOf(s galenastair.ServiceName) int {
	for _, m := range p.byService[s] {
		if m.Slots > 0 {
			return m.Slots
		}
	}
	return 0
}
