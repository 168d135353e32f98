package pool

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"galenastair"
)

// Guards against requests to a server that has asked for a backoff, and against a later, shorter time
// that ends it early.
func TestBackoffKeepsRequestsAway(t *testing.T) {
	is := is.New(t)
	p := testPool()
	const backoff = 3 * time.Second
	p.Backoff(start, "s1", backoff)
	p.Backoff(start, "s1", time.Second)
	p.Throttle(start, "s1", time.Second)
	for range 50 {
		c, ok := p.Choose(start.Add(backoff-1), testQuery())
		is.True(ok)
		is.True(c.ID != "s1")
	}
	is.True(!p.Usable(start.Add(backoff-1), "s1"))
	is.True(p.Usable(start.Add(backoff), "s1"))
}

// Guards against a refusal that names no time, or the time of a server that will be gone by then.
func TestRetryAfterIsTheEndOfTheFirstBackoff(t *testing.T) {
	is := is.New(t)
	p := testPool()
	p.Backoff(start, "s1", 3*time.Second)
	p.Backoff(start, "s2", 2*time.Second)
	p.Backoff(start, "s3", time.Second)
	p.ObserveLeaving(start, "s3", 1)
	c, ok := p.Choose(start, testQuery())
	is.True(!ok)
	is.Equal(c.Reason, ReasonThrottled)
	is.Equal(c.RetryAfter, 2*time.Second)
	c, ok = p.Choose(start.Add(2*time.Second), testQuery())
	is.True(ok)
	is.Equal(c.ID, galenastair.BackendServerID("s2"))
}
