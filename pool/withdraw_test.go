package pool

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"galenastair"
)

func evacuate(p *Pool, now time.Time, zones ...galenastair.AvailabilityZone) {
	since := map[galenastair.AvailabilityZone]time.Time{}
	for _, zone := range zones {
		since[zone] = now
	}
	p.SetEvacuated(now, since)
}

// Guards against requests to the servers of an evacuated availability zone.
func TestEvacuatedZoneGetsNoRequests(t *testing.T) {
	is := is.New(t)
	p := testPool(WithEvacuationGrace(4 * time.Second))
	evacuate(p, start, "z1")
	for range 50 {
		c, ok := p.Choose(start, testQuery())
		is.True(ok)
		is.Equal(c.ID, galenastair.BackendServerID("s3"))
	}
	is.Equal(p.States(start)[0].Unavailable, UnavailableEvacuated)
	evacuate(p, start.Add(5*time.Second))
	c, ok := p.Choose(start.Add(5*time.Second), testQuery())
	is.True(ok)
	is.Equal(c.AvailabilityZone, galenastair.AvailabilityZone("z1"))
}

// Guards against requests after the bound, also where the evacuated zones have the only copies:
// until then these are used, and afterwards the model counts as not loaded.
func TestOnlyCopiesInEvacuatedZonesAreUsedUntilTheBound(t *testing.T) {
	is := is.New(t)
	const grace = 4 * time.Second
	p := testPool(WithEvacuationGrace(grace))
	evacuate(p, start, "z1", "z2")
	c, ok := p.Choose(start.Add(grace-1), testQuery())
	is.True(ok)
	is.Equal(c.Reason, ReasonLastCopy)
	is.True(p.Usable(start.Add(grace-1), c.ID))
	is.True(!p.Usable(start.Add(grace), c.ID))
	is.True(!p.HasModel("m"))
	none, ok := p.Choose(start.Add(grace), testQuery())
	is.True(!ok)
	is.Equal(none.Reason, ReasonNoServer)
}

// Guards against a model that is never loaded elsewhere, because its leaving or evacuated copies
// count as servers that were tried.
func TestModelOnWithdrawnServersCountsAsNotLoaded(t *testing.T) {
	is := is.New(t)
	p := testPool()
	p.Set(start, Server{ID: "s4", Service: "writer", AvailabilityZone: "z2", Slots: 64, Incarnation: 1, Heartbeat: 1})
	p.Remove("s3")
	evacuate(p, start, "z1")
	none, ok := p.Choose(start, testQuery())
	is.True(!ok)
	is.Equal(none.Reason, ReasonNoModel)
}

// Guards against a request that reaches a region which its route or organisation does not allow.
func TestRequestsStayInTheirRegions(t *testing.T) {
	is := is.New(t)
	p := testPool(WithRegions(map[galenastair.AvailabilityZone]galenastair.Region{"z1": "east", "z2": "west"}))
	q := testQuery()
	q.Regions = []galenastair.Region{"west"}
	for range 50 {
		c, ok := p.Choose(start, q)
		is.True(ok)
		is.Equal(c.ID, galenastair.BackendServerID("s3"))
	}
	q.Regions = []galenastair.Region{"north"}
	none, ok := p.Choose(start, q)
	is.True(!ok)
	is.Equal(none.Reason, ReasonNoServer)
}
