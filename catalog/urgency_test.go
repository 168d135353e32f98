package catalog

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"galenastair"
)

// Requests that yield without a more urgent route would wait for nothing. Fails if a service without
// one, a route without a target, or the most urgent priority itself counts.
func TestMoreUrgent(t *testing.T) {
	is := is.New(t)
	route := func(service string, priority int, target time.Duration) *Route {
		return &Route{Host: "a", Priority: priority, TargetLatency: target, Targets: []Target{{Service: "unused"}, {Service: galenastair.ServiceName(service), Weight: 1}}}
	}
	routes := []*Route{
		route("writer", 0, 500*time.Millisecond), route("writer", 1, 800*time.Millisecond), route("writer", 2, 10*time.Second),
		route("app", 2, 150*time.Millisecond), route("app", 2, 150*time.Millisecond),
		route("untimed", 0, 0), route("untimed", 1, time.Second),
	}
	c := New(1, Limits{}, routes, nil, nil)
	check := func(service string, priority int, target time.Duration, levels int) {
		t.Helper()
		gotTarget, gotLevels := c.MoreUrgent(galenastair.ServiceName(service), priority)
		is.Equal(gotTarget, target)
		is.Equal(gotLevels, levels)
	}
	check("writer", 0, 0, 0)
	check("writer", 1, 500*time.Millisecond, 1)
	check("writer", 2, 500*time.Millisecond, 2)
	check("writer", 12, 500*time.Millisecond, 3)
	check("app", 2, 0, 0)
	check("untimed", 1, 0, 0)
	check("unused", 9, 0, 0)
	check("unknown", 9, 0, 0)

	// an organisation's own priority orders its requests against those of others, not among themselves
	c = New(1, Limits{}, routes, nil, []*Organisation{{Name: "first", HasPriority: true, Priority: 0}, {Name: "second", HasPriority: true, Priority: 5}})
	check("app", 2, 0, 0)
	check("writer", 0, 0, 0)
	check("writer", 1, 500*time.Millisecond, 1)
}

// Guards against urgent requests that wait behind the patient ones of organisations of equal priority, and
// against organisations of different priorities that are taken for equal.
func TestLevelIsByOrganisationThenRoute(t *testing.T) {
	is := is.New(t)
	org := func(priority int) *Organisation { return &Organisation{HasPriority: true, Priority: priority} }
	route := func(priority int) *Route { return &Route{Priority: priority} }
	routes := []*Route{route(0), route(1), route(2)}

	c := New(1, Limits{}, routes, nil, []*Organisation{org(0), org(1), {}})
	is.True(c.Level(org(1), route(0)) < c.Level(org(1), route(1)))
	is.True(c.Level(org(1), route(1)) < c.Level(org(1), route(2)))
	is.True(c.Level(org(0), route(2)) < c.Level(org(1), route(0)))
	is.True(c.Level(nil, route(0)) < c.Level(&Organisation{}, route(1)))
	is.True(c.Level(&Organisation{}, route(0)) < c.Level(org(1), route(0)))
	is.True(c.Level(org(1), route(2)) < c.Level(&Organisation{}, route(2)))
	is.Equal(c.Level(nil, route(0)), 0)

	c = New(1, Limits{}, routes, nil, []*Organisation{org(0), org(9)})
	for p := range 9 {
		is.True(c.Level(org(p), route(2)) < c.Level(org(p+1), route(0)))
	}
	is.Equal(c.Level(org(12), route(2)), 9)
}
