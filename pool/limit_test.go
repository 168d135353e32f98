package pool

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"galenastair"
)

func (p *Pool) limitOfS1() float64 { return p.members["s1"].limit.perSecond }

// An answer that was under way when a server named its limit ends the limit.
func TestOlderAnswerDoesNotEndALimit(t *testing.T) {
	is := is.New(t)
	p := testPool()
	p.NoteLimit(start.Add(time.Second), "s1", 2, start)
	p.NoteLimit(start.Add(2*time.Second), "s1", 0, start.Add(500*time.Millisecond))
	is.Equal(p.limitOfS1(), 2.0)
	p.NoteLimit(start.Add(3*time.Second), "s1", 0, start.Add(1500*time.Millisecond))
	is.Equal(p.limitOfS1(), 0.0)
}

// The word of a limit comes back from the leader a little younger each time, and outlives its end.
func TestEndOfALimitBeatsItsEcho(t *testing.T) {
	is := is.New(t)
	p, other := testPool(), testPool()
	p.NoteLimit(start, "s1", 2, start)
	told := p.Limits(start)
	is.Equal(len(told), 1)
	now := start
	for range 20 {
		now = now.Add(300 * time.Millisecond)
		other.SetOthersLimits(now, p.Limits(now))
		p.SetOthersLimits(now.Add(5*time.Millisecond), p.Limits(now))
	}
	is.Equal(other.limitOfS1(), 2.0)
	is.Equal(len(other.Limits(now)), 0)
	p.NoteLimit(now, "s1", 0, now.Add(-time.Second))
	is.Equal(p.limitOfS1(), 0.0)
	other.SetOthersLimits(now.Add(time.Millisecond), p.Limits(now))
	is.Equal(other.limitOfS1(), 0.0)
	other.SetOthersLimits(now.Add(2*time.Millisecond), told)
	is.Equal(other.limitOfS1(), 0.0)
}

// A limited server is passed by while others are sound, so nobody hears that its limit has ended.
func TestLimitedServerIsProbed(t *testing.T) {
	is := is.New(t)
	p := testPool()
	p.NoteLimit(start, "s1", 2, start)
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
	is.True(chosen(start.Add(limitProbe)))
}

// All servers of a model are at their limits: the caller hears when the first has room.
func TestAllDeferredSaysWhen(t *testing.T) {
	is := is.New(t)
	p := testPool()
	for i, id := range []galenastair.BackendServerID{"s1", "s2", "s3"} {
		p.Defer(start, id, time.Duration(i+1)*time.Second)
	}
	c, ok := p.Choose(start, testQuery())
	is.True(!ok)
	is.Equal(c.Reason, ReasonDeferred)
	is.Equal(c.Wait, time.Second)
	_, ok = p.Choose(start.Add(1100*time.Millisecond), testQuery())
	is.True(ok)
}
