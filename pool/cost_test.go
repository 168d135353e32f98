package pool

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"galenastair"
)

// Two deployments send the same prompts, but one has engines ten times as fast. Taken for
// slow ones, its idle engines counted as overloaded: the planner moved copies of models
// between them all day, and callers found none of a model that was on its way.
func TestEngineTimeFollowsTheEngines(t *testing.T) {
	is := is.New(t)
	q := Query{Service: "llm", Hints: galenastair.Hints{Model: "m/a1", Prompt: 9000, Output: 60}, Aim: time.Second}
	foretold := func(reads, runs time.Duration) float64 {
		p := testPool()
		p.Set(start, Server{ID: "e1", Service: "llm", Slots: 10, Models: []galenastair.EngineModel{{Name: "m", Adapters: []string{"a1"}}}})
		now := start
		for range 200 {
			f := p.Begin(now, "e1", q)
			f.Started(now.Add(reads))
			f.End(now.Add(reads+runs), Succeeded)
			now = now.Add(time.Second)
		}
		return p.EngineTime(q).Seconds()
	}
	near := func(got, want float64) bool { return got > 0.95*want && got < 1.05*want }
	is.True(near(foretold(400*time.Millisecond, 600*time.Millisecond), 0.4+0.6/10))
	is.True(near(foretold(40*time.Millisecond, 100*time.Millisecond), 0.04+0.1/10))
}

// A burst makes prompts wait behind each other at one engine. What one of them takes is
// still what it takes alone: taken for more, each burst would bring a round of moves.
func TestEngineTimeIsWithoutQueues(t *testing.T) {
	is := is.New(t)
	p := testPool()
	p.Set(start, Server{ID: "e1", Service: "llm", Slots: 10, Models: []galenastair.EngineModel{{Name: "m"}}})
	q := Query{Service: "llm", Hints: galenastair.Hints{Model: "m", Prompt: 2040}, Aim: time.Second}
	alone := p.EngineTime(q)
	now := start
	for range 50 {
		var flights []*Flight
		for range 8 {
			flights = append(flights, p.Begin(now, "e1", q))
		}
		for i, f := range flights {
			f.Started(now.Add(time.Duration(i+1) * 100 * time.Millisecond))
			f.End(now.Add(time.Second), Succeeded)
		}
		now = now.Add(2 * time.Second)
	}
	is.Equal(p.EngineTime(q).Round(time.Millisecond), alone.Round(time.Millisecond))
}
