package pool

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"galenastair"
)

// The queue time decides whether less urgent requests wait. Fails if a request's own prompt counts as
// queue, so that it would wait at an idle server, or if the prompts of others do not count.
func TestQueueTime(t *testing.T) {
	is := is.New(t)
	p := New("z", WithRand(rand.New(rand.NewPCG(1, 1))))
	addCopies(p, 0, 1)
	q := Query{Service: "writer", RequestHints: galenastair.RequestHints{Model: "m", PromptTokens: 40000}, TargetLatency: time.Second}
	c, ok := p.Choose(start, q)
	is.True(ok)
	is.True(c.PredictedLatency > time.Second)
	is.True(c.QueueTime < 10*time.Millisecond)

	p.SetPeerLoads(start, map[ServerKey]Load{KeyOf("s0"): {InFlight: 5, PendingTokens: prefillTokensPerSecond}})
	c, _ = p.Choose(start, q)
	is.True(c.QueueTime > 900*time.Millisecond)
	is.True(c.QueueTime < 1100*time.Millisecond)
}

// Instances that release waiting requests must not all pick the server that looked idle some hundred
// milliseconds ago. Fails if Spread prefers the least loaded server, or picks one that fails.
func TestSpreadPicksAnyHealthyServer(t *testing.T) {
	is := is.New(t)
	p := New("z", WithRand(rand.New(rand.NewPCG(1, 1))))
	addCopies(p, 0, 4)
	p.SetPeerLoads(start, map[ServerKey]Load{KeyOf("s0"): {InFlight: 5, PendingTokens: prefillTokensPerSecond}})
	q := Query{Service: "writer", RequestHints: galenastair.RequestHints{Model: "m", PromptTokens: 1000}, TargetLatency: time.Second, Spread: true}
	for range 5 {
		p.Begin(start, "s3", q).End(start, Failed)
	}
	counts := map[galenastair.BackendServerID]int{}
	for range 300 {
		c, ok := p.Choose(start, q)
		is.True(ok)
		counts[c.ID]++
	}
	is.Equal(counts["s3"], 0)
	for _, id := range []galenastair.BackendServerID{"s0", "s1", "s2"} {
		is.True(counts[id] > 70)
	}
}
