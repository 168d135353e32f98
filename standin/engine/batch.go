package engine

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"time"

	"galenastair"
)

// batch holds the requests that wait and run; the engine's lock guards it.
type batch struct {
	waiting []*sequence
	running []*sequence
	arrived int64
}

func (b *batch) add(s *sequence) {
	b.arrived++
	s.arrival = b.arrived
	at, _ := slices.BinarySearchFunc(b.waiting, s, byPriority)
	b.waiting = slices.Insert(b.waiting, at, s)
}

// byPriority puts the lower priority first, then the earlier arrival.
func byPriority(x, y *sequence) int {
	return cmp.Or(cmp.Compare(x.request.Priority, y.request.Priority), cmp.Compare(x.arrival, y.arrival))
}

func (b *batch) runs(model galenastair.ModelName) bool {
	return slices.ContainsFunc(b.running, func(s *sequence) bool { return s.request.Model == model })
}

// Run works until the context ends.
func (e *Engine) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		takes, busy := e.startStep()
		if !busy {
			select {
			case <-e.wake:
			case <-time.After(idleStep):
				e.sweep(time.Now())
			case <-ctx.Done():
			}
			continue
		}
		if takes > 0 {
			time.Sleep(takes)
		}
		e.endStep(time.Now())
	}
	return ctx.Err()
}

// idleStep is how often an idle engine looks for what it may forget.
const idleStep = 100 * time.Millisecond

// startStep fills the batch and returns how long its next step takes.
func (e *Engine) startStep() (takes time.Duration, busy bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.switches.Frozen {
		return 0, false
	}
	var prefill galenastair.Tokens
	for len(e.batch.waiting) > 0 && len(e.batch.running) < e.settings.MaxBatch {
		s := e.batch.waiting[0]
		if !e.cache.reserve(s.tokens()) {
			break
		}
		e.batch.waiting = e.batch.waiting[1:]
		e.batch.running = append(e.batch.running, s)
		prefill += e.begin(s)
	}
	n := len(e.batch.running)
	takes = e.settings.BaseStep + time.Duration(n)*e.settings.StepPerRequest
	takes += time.Duration(prefill) * e.settings.PrefillPerToken
	if e.switches.Slow > 0 {
		takes = time.Duration(float64(takes) * e.switches.Slow)
	}
	return takes, n > 0
}

// begin counts that a request runs, and returns what of its prompt is not cached.
func (e *Engine) begin(s *sequence) galenastair.Tokens {
	e.runs.count(s.id)
	if e.settings.Poison != "" && strings.Contains(s.request.Prompt, e.settings.Poison) {
		e.settings.Exit()
	}
	return e.cache.use(time.Now(), s)
}

// endStep gives each running request one token.
func (e *Engine) endStep(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.batch.running = slices.DeleteFunc(e.batch.running, func(s *sequence) bool {
		done := s.isCancelled() || s.abandoned(now, e.settings.ResumeFor) || s.grow()
		if done {
			e.cache.release(s.tokens())
		}
		return done
	})
	e.weights.finishUnloads(e.batch.runs)
	e.keepReport(now)
	if now.Sub(e.swept) > time.Second {
		e.forget(now)
	}
}

func (e *Engine) sweep(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.weights.finishUnloads(e.batch.runs)
	e.keepReport(now)
	e.forget(now)
}

// forget drops the answers that nobody has read for a while.
func (e *Engine) forget(now time.Time) {
	e.swept = now
	for id, s := range e.byID {
		if s.abandoned(now, e.settings.ResumeFor) {
			s.cancel()
			delete(e.byID, id)
		}
	}
	e.batch.waiting = slices.DeleteFunc(e.batch.waiting, (*sequence).isCancelled)
}
