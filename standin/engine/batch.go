package engine

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"time"

	"galenastair"
)

// batch holds the queued and the running requests. Engine.mu guards it.
type batch struct {
	waiting  []*sequence
	running  []*sequence
	arrivals int64
}

func (b *batch) enqueue(s *sequence) {
	b.arrivals++
	s.arrival = b.arrivals
	at, _ := slices.BinarySearchFunc(b.waiting, s, compareSequences)
	b.waiting = slices.Insert(b.waiting, at, s)
}

// compareSequences orders by ascending priority number, then by arrival.
func compareSequences(x, y *sequence) int {
	return cmp.Or(cmp.Compare(x.request.Priority, y.request.Priority), cmp.Compare(x.arrival, y.arrival))
}

func (b *batch) isRunning(model galenastair.ModelName) bool {
	return slices.ContainsFunc(b.running, func(s *sequence) bool { return s.request.Model == model })
}

// Run executes steps until the context is cancelled.
func (e *Engine) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		duration, busy := e.startStep()
		if !busy {
			select {
			case <-e.wake:
			case <-time.After(idleInterval):
				e.sweep(time.Now())
			case <-ctx.Done():
			}
			continue
		}
		if duration > 0 {
			time.Sleep(duration)
		}
		e.endStep(time.Now())
	}
	return ctx.Err()
}

// idleInterval is how often an idle engine finishes unloads, records a report and
// removes abandoned requests.
const idleInterval = 100 * time.Millisecond

// startStep fills the batch from the queue. It returns the duration of the next step,
// and whether there is anything to run.
func (e *Engine) startStep() (duration time.Duration, busy bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.Frozen {
		return 0, false
	}
	var prefill galenastair.Tokens
	for len(e.batch.waiting) > 0 && len(e.batch.running) < e.settings.MaxBatchSize {
		s := e.batch.waiting[0]
		if !e.cache.reserve(s.totalTokens()) {
			break
		}
		e.batch.waiting = e.batch.waiting[1:]
		e.batch.running = append(e.batch.running, s)
		prefill += e.startSequence(s)
	}
	n := len(e.batch.running)
	duration = e.settings.BaseStep + time.Duration(n)*e.settings.StepPerRequest
	duration += time.Duration(prefill) * e.settings.PrefillPerToken
	if e.faults.Slow > 0 {
		duration = time.Duration(float64(duration) * e.faults.Slow)
	}
	return duration, n > 0
}

// startSequence records the run of a request and returns the number of its prompt
// tokens that are not cached.
func (e *Engine) startSequence(s *sequence) galenastair.Tokens {
	e.runs.recordRun(s.id)
	if e.settings.Poison != "" && strings.Contains(s.request.Prompt, e.settings.Poison) {
		e.settings.Exit()
	}
	return e.cache.cachePrompt(time.Now(), s)
}

// endStep adds one token to each running request and removes those that have ended.
func (e *Engine) endStep(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.batch.running = slices.DeleteFunc(e.batch.running, func(s *sequence) bool {
		done := s.isCancelled() || s.isAbandoned(now, e.settings.ResumeTimeout) || s.addToken()
		if done {
			e.cache.release(s.totalTokens())
		}
		return done
	})
	e.weights.finishUnloads(e.batch.isRunning)
	e.recordReport(now)
	if now.Sub(e.lastSweep) > time.Second {
		e.removeAbandoned(now)
	}
}

func (e *Engine) sweep(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.weights.finishUnloads(e.batch.isRunning)
	e.recordReport(now)
	e.removeAbandoned(now)
}

// removeAbandoned cancels and removes requests that have had no connection for longer
// than ResumeTimeout.
func (e *Engine) removeAbandoned(now time.Time) {
	e.lastSweep = now
	for id, s := range e.byID {
		if s.isAbandoned(now, e.settings.ResumeTimeout) {
			s.cancel()
			delete(e.byID, id)
		}
	}
	e.batch.waiting = slices.DeleteFunc(e.batch.waiting, (*sequence).isCancelled)
}
