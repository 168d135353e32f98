package pool

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"galenastair"
)

// Guards against a server that registers again after an outage of the store and is used as if it had
// announced nothing.
func TestAnnouncementsOutlastTheRegistration(t *testing.T) {
	is := is.New(t)
	const backoff = 3 * time.Second
	p := testPool(WithLeaveGrace(time.Second))
	p.ObserveLeaving(start, "s1", 1)
	p.Backoff(start, "s2", backoff)
	for i, id := range []galenastair.BackendServerID{"s1", "s2"} {
		p.Remove(id)
		p.Set(start, Server{ID: id, Service: "writer", Slots: 64, Incarnation: 1, Heartbeat: int64(10 + i), Models: []galenastair.LoadedModel{{Name: "m"}}})
	}
	for range 50 {
		c, ok := p.Choose(start.Add(backoff-1), testQuery())
		is.True(ok)
		is.Equal(c.ID, galenastair.BackendServerID("s3"))
	}
	is.True(p.Usable(start, "s1"))
	is.True(!p.Usable(start.Add(time.Second), "s1"))
	is.True(!p.Usable(start.Add(backoff-1), "s2"))
	is.True(p.Usable(start.Add(backoff), "s2"))
	p.Remove("s1")
	p.Set(start, Server{ID: "s1", Service: "writer", Slots: 64, Incarnation: 2, Heartbeat: 1})
	is.True(p.Usable(start.Add(time.Second), "s1"))
}

// Guards against a record of departed servers that grows with each release.
func TestDepartedServersAreBounded(t *testing.T) {
	is := is.New(t)
	p := testPool()
	for i := range 2 * maxDeparted {
		id := galenastair.BackendServerID(fmt.Sprint("r", i))
		p.Set(start, Server{ID: id, Service: "writer", Incarnation: 1})
		p.ObserveLeaving(start, id, 1)
		p.Remove(id)
	}
	is.Equal(len(p.departed), maxDeparted)
}

// Guards against a server that is leaving, by its own answer, and is used again because its next
// registration says nothing of it.
func TestAnnouncedLeaveOutlastsRegistrations(t *testing.T) {
	is := is.New(t)
	const grace = time.Second
	p := testPool(WithLeaveGrace(grace))
	is.True(p.ObserveLeaving(start, "s1", 1))
	is.True(!p.ObserveLeaving(start, "s1", 1))
	registration := Server{ID: "s1", Service: "writer", Slots: 64, Incarnation: 1, Heartbeat: 2, Models: []galenastair.LoadedModel{{Name: "m"}}}
	p.Set(start, registration)
	for range 50 {
		c, ok := p.Choose(start, testQuery())
		is.True(ok)
		is.True(c.ID != "s1")
	}
	is.Equal(p.Down(start), []galenastair.BackendServerID{"s1"})
	is.True(p.Usable(start.Add(grace-1), "s1"))
	is.True(!p.Usable(start.Add(grace), "s1"))

	is.True(!p.ObserveLeaving(start, "s2", 0))
	registration.Incarnation = 2
	p.Set(start, registration)
	is.True(p.Usable(start.Add(grace), "s1"))
}

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
	is.Equal(p.States(start)[0].Unavailable, UnavailableBackoff)
	is.Equal(p.States(start.Add(backoff))[0].Unavailable, UnavailableReason(""))
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
