package pool

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"galenastair"
)

// Two deployments get the same prompts, and the engines of one are ten times as fast. With a fixed
// speed, its idle engines would count as overloaded. The planner would keep moving copies between
// them, and callers would find no copy of a model that is being moved.
func TestEngineTimeFollowsObservedSpeed(t *testing.T) {
	is := is.New(t)
	q := Query{Service: "llm", RequestHints: galenastair.RequestHints{Model: "m/a1", PromptTokens: 9000, OutputTokens: 60}, TargetLatency: time.Second}
	predicted := func(reads, runs time.Duration) float64 {
		p := testPool()
		p.Set(start, Server{ID: "e1", Service: "llm", Slots: 10, Models: []galenastair.LoadedModel{{Name: "m", Adapters: []string{"a1"}}}})
		now := start
		for range 200 {
			a := p.Begin(now, "e1", q)
			a.Started(now.Add(reads))
			a.End(now.Add(reads+runs), Succeeded)
			now = now.Add(time.Second)
		}
		return p.EngineTime(q).Seconds()
	}
	near := func(got, want float64) bool { return got > 0.95*want && got < 1.05*want }
	is.True(near(predicted(400*time.Millisecond, 600*time.Millisecond), 0.4+0.6/10))
	is.True(near(predicted(40*time.Millisecond, 100*time.Millisecond), 0.04+0.1/10))
}

// In a burst, prompts queue at one engine. The queueing time must not count as engine time, or
// each burst would make the planner move copies.
func TestEngineTimeExcludesQueueing(t *testing.T) {
	is := is.New(t)
	p := testPool()
	p.Set(start, Server{ID: "e1", Service: "llm", Slots: 10, Models: []galenastair.LoadedModel{{Name: "m"}}})
	q := Query{Service: "llm", RequestHints: galenastair.RequestHints{Model: "m", PromptTokens: 2040}, TargetLatency: time.Second}
	alone := p.EngineTime(q)
	now := start
	for range 50 {
		var attempts []*Attempt
		for range 8 {
			attempts = append(attempts, p.Begin(now, "e1", q))
		}
		for i, a := range attempts {
			a.Started(now.Add(time.Duration(i+1) * 100 * time.Millisecond))
			a.End(now.Add(time.Second), Succeeded)
		}
		now = now.Add(2 * time.Second)
	}
	is.Equal(p.EngineTime(q).Round(time.Millisecond), alone.Round(time.Millisecond))
}

// Guards against memory that grows with the model names that callers make up.
func TestUnknownModelsLeaveNoState(t *testing.T) {
	is := is.New(t)
	p := testPool()
	q := testQuery()
	q.Model = "m"
	want := p.EngineTime(q)
	for i := range 100 {
		q.Model = galenastair.ModelName("unknown" + strconv.Itoa(i))
		is.Equal(p.EngineTime(q), want)
		_, ok := p.Choose(start, q)
		is.True(!ok)
	}
	is.Equal(len(p.costs)+len(p.modelRatios), 0)
}
