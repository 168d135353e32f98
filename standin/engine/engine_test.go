package engine

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"galenastair"
)

func newTestEngine(change func(*Settings)) *Engine {
	s := DefaultSettings()
	s.BaseStep, s.StepPerRequest, s.PrefillPerToken = 0, 0, 0
	s.EventLag, s.ReportLag = 0, 0
	change(&s)
	e := New("e1", s)
	e.Preload(galenastair.ModelWeights{Name: "model-1", Version: "v1", Memory: 1})
	return e
}

func newTestSequence(id galenastair.RequestID, priority, tokens int) *sequence {
	return newSequence(id, false, Request{Model: "model-1", Prompt: string(id), MaxTokens: tokens, Priority: priority})
}

func TestLowerPriorityNumberRunsFirst(t *testing.T) {
	is := is.New(t)
	e := newTestEngine(func(s *Settings) { s.MaxBatchSize = 1 })
	for i, priority := range []int{5, 1, 5, 0} {
		is.NoErr(e.admit(newTestSequence(galenastair.RequestID(rune('a'+i)), priority, 1)))
	}
	order := ""
	for range 4 {
		e.startStep()
		order += string(e.batch.running[0].id)
		e.endStep(time.Now())
	}
	is.Equal(order, "dbac")
}

func TestUnloadWaitsForRunningRequests(t *testing.T) {
	is := is.New(t)
	e := newTestEngine(func(*Settings) {})
	is.NoErr(e.admit(newTestSequence("r1", 0, 2)))
	e.startStep()
	w := galenastair.ModelWeights{Name: "model-1", Version: "v1", Memory: 1}
	is.NoErr(e.applyOrder(galenastair.Order{ID: "o1", BackendServer: "e1", Kind: galenastair.UnloadModel, Weight: w}))
	is.Equal(e.admit(newTestSequence("r2", 0, 1)), errNotReady)
	e.endStep(time.Now())
	is.Equal(e.weights.used(), galenastair.Bytes(1)) // r1 still runs
	e.startStep()
	e.endStep(time.Now())
	is.Equal(e.weights.used(), galenastair.Bytes(0))
	is.Equal(e.report(time.Now()).FinishedOrders, []galenastair.OrderID{"o1"})
}

func TestAdapterRequiresItsBaseModelAndOvercommitIsRecorded(t *testing.T) {
	is := is.New(t)
	e := newTestEngine(func(s *Settings) { s.Memory = 10 })
	load := func(id galenastair.OrderID, w galenastair.ModelWeights) error {
		return e.applyOrder(galenastair.Order{ID: id, BackendServer: "e1", Kind: galenastair.LoadModel, Weight: w})
	}
	is.Equal(load("o1", galenastair.ModelWeights{Name: "a", Base: "model-9", Memory: 1}), errBaseNotLoaded)
	is.NoErr(load("o2", galenastair.ModelWeights{Name: "a", Base: "model-1", Memory: 1}))
	is.NoErr(load("o2", galenastair.ModelWeights{Name: "a", Base: "model-1", Memory: 1})) // a repeated order
	e.mu.Lock()
	is.Equal(e.weights.used(), galenastair.Bytes(2))
	is.Equal(len(e.weights.violations), 0)
	e.mu.Unlock()
	is.NoErr(load("o3", galenastair.ModelWeights{Name: "model-2", Memory: 9}))
	e.mu.Lock()
	defer e.mu.Unlock()
	is.Equal(e.weights.violations, []Violation{{Order: "o3", Used: 11, Total: 10}})
}

func TestPoisonEndsTheProcessWhenTheRequestStarts(t *testing.T) {
	is := is.New(t)
	exits := 0
	e := newTestEngine(func(s *Settings) {
		s.Poison = "hemlock"
		s.Exit = func() { exits++ }
	})
	is.NoErr(e.admit(newTestSequence("hemlock", 0, 1)))
	is.Equal(exits, 0)
	e.startStep()
	is.Equal(exits, 1)
	is.Equal(e.runs.response().Runs, []RunCount{{"hemlock", 1}}) // counted before the exit
}

func TestCacheEventsAreLostAtTheConfiguredRate(t *testing.T) {
	is := is.New(t)
	e := newTestEngine(func(s *Settings) {
		s.EventLossRate = 0.5
		s.CacheMemory = s.BytesPerToken * blockTokens * 4
	})
	for i := range 200 {
		e.cache.insert(time.Now(), prefixKey{"model-1", uint64(i)}, blockTokens)
	}
	events := e.cache.eventsAfter(0, time.Now())
	dropped := 0
	for i, ev := range events {
		is.True(i == 0 || ev.Sequence > events[i-1].Sequence)
		if ev.Evicted {
			dropped++
		}
	}
	is.Equal(e.cache.lastSequence, int64(200+196)) // 4 prefixes fit
	is.True(len(events) > 100 && len(events) < 300)
	is.True(dropped > 0)
	is.Equal(len(e.cache.eventsAfter(events[9].Sequence, time.Now())), len(events)-10)
}

func TestAbandonedRequestsAreCancelledAndRemoved(t *testing.T) {
	is := is.New(t)
	e := newTestEngine(func(s *Settings) { s.ResumeTimeout = time.Second })
	s := newTestSequence("r1", 0, 1000)
	is.NoErr(e.admit(s))
	now := time.Now()
	e.startStep()
	s.detach(now)
	e.endStep(now.Add(time.Second))
	is.Equal(len(e.batch.running), 1) // can still be resumed
	e.endStep(now.Add(3 * time.Second))
	is.Equal(len(e.batch.running), 0)
	is.Equal(len(e.byID), 0)
	is.Equal(e.cache.reservedTokens, galenastair.Tokens(0))
}
