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
