package pool

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"galenastair"
)

func (p *Pool) limitOfS1() float64 { return p.backends["s1"].limit.perSecond }

// An answer to a request that was sent before the server advertised its limit does not clear the
// limit.
func TestOlderAnswerDoesNotClearALimit(t *testing.T) {
	is := is.New(t)
	p := testPool()
	p.ObserveLimit(start.Add(time.Second), "s1", 2, start)
	p.ObserveLimit(start.Add(2*time.Second), "s1", 0, start.Add(500*time.Millisecond))
	is.Equal(p.limitOfS1(), 2.0)
	p.ObserveLimit(start.Add(3*time.Second), "s1", 0, start.Add(1500*time.Millisecond))
	is.Equal(p.limitOfS1(), 0.0)
}

// A limit that is sent to the leader and back appears slightly newer each time. It must not
// restore a limit that has been cleared.
func TestClearedLimitIsNotRestoredByPeers(t *testing.T) {
	is := is.New(t)
	p, other := testPool(), testPool()
	p.ObserveLimit(start, "s1", 2, start)
	advertised := p.Limits(start)
	is.Equal(len(advertised), 1)
	now := start
	for range 20 {
		now = now.Add(300 * time.Millisecond)
		other.SetPeerLimits(now, p.Limits(now))
		p.SetPeerLimits(now.Add(5*time.Millisecond), p.Limits(now))
	}
	is.Equal(other.limitOfS1(), 2.0)
	is.Equal(len(other.Limits(now)), 0)
	p.ObserveLimit(now, "s1", 0, now.Add(-time.Second))
	is.Equal(p.limitOfS1(), 0.0)
	other.SetPeerLimits(now.Add(time.Millisecond), p.Limits(now))
	is.Equal(other.limitOfS1(), 0.0)
	other.SetPeerLimits(now.Add(2*time.Millisecond), advertised)
	is.Equal(other.limitOfS1(), 0.0)
}

// A rate-limited server is avoided while others are healthy. Without probes, no instance would
// observe that its limit has been cleared.
func TestLimitedServerIsProbed(t *testing.T) {
	is := is.New(t)
	p := testPool()
	p.ObserveLimit(start, "s1", 2, start)
	chosen := func(now time.Time) bool {
		for range 50 {
			c, ok := p.Choose(now, testQuery())
			is.True(ok)
			if c.ID == "s1" {
				is.Equal(c.Limit.PerSecond, 2.0)
				return true
			}
		}
		return false
	}
	is.True(!chosen(start.Add(time.Second)))
	is.True(chosen(start.Add(limitProbeAge)))
}

// If all servers of a model are throttled, the caller learns when the first one accepts requests
// again.
func TestAllThrottledReturnsRetryAfter(t *testing.T) {
	is := is.New(t)
	p := testPool()
	for i, id := range []galenastair.BackendServerID{"s1", "s2", "s3"} {
		p.Throttle(start, id, time.Duration(i+1)*time.Second)
	}
	c, ok := p.Choose(start, testQuery())
	is.True(!ok)
	is.Equal(c.Reason, ReasonThrottled)
	is.Equal(c.RetryAfter, time.Second)
	_, ok = p.Choose(start.Add(1100*time.Millisecond), testQuery())
	is.True(ok)
}
