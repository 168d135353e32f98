package pool

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"galenastair"
)

var start = time.Unix(1000, 0)

// testPool returns a pool of three servers of one service in two availability zones. All hold
// model m.
func testPool(opts ...Option) *Pool {
	p := New("z1", append([]Option{WithRand(rand.New(rand.NewPCG(1, 2)))}, opts...)...)
	for i, zone := range []galenastair.AvailabilityZone{"z1", "z1", "z2"} {
		p.Set(start, Server{
			ID: galenastair.BackendServerID("s" + strconv.Itoa(i+1)), Service: "writer", AvailabilityZone: zone,
			Slots: 64, Incarnation: 1, Heartbeat: 1, Models: []galenastair.LoadedModel{{Name: "m", Adapters: []string{"a1"}}},
		})
	}
	return p
}

func testQuery() Query {
	return Query{Service: "writer", TargetLatency: 800 * time.Millisecond, RequestHints: galenastair.RequestHints{Model: "m", PromptTokens: 2000, OutputTokens: 20,
		PromptParts: []galenastair.PromptPart{{ID: "shared", Tokens: 500}, {ID: "own", Tokens: 1500}}}}
}

// runRequests sends n requests, one per gap, to servers whose first event comes after the time
// that took returns. It returns how many requests each server got.
func runRequests(t *testing.T, p *Pool, n int, gap time.Duration, took func(galenastair.BackendServerID) time.Duration, result func(galenastair.BackendServerID) Result) map[galenastair.BackendServerID]int {
	t.Helper()
	type event struct {
		at time.Time
		a  *Attempt
		id galenastair.BackendServerID
	}
	got := map[galenastair.BackendServerID]int{}
	var running []event
	now := start
	for range n {
		now = now.Add(gap)
		rest := running[:0]
		for _, e := range running {
			if e.at.After(now) {
				rest = append(rest, e)
				continue
			}
			if result(e.id) == Succeeded {
				e.a.Started(e.at)
			}
			e.a.End(e.at, result(e.id))
		}
		running = rest
		q := testQuery()
		q.PromptParts[1].ID = strconv.Itoa(n)
		c, ok := p.Choose(now, q)
		if !ok {
			t.Fatal("no choice")
		}
		got[c.ID]++
		running = append(running, event{now.Add(took(c.ID)), p.Begin(now, c.ID, q), c.ID})
	}
	return got
}

func always(r Result) func(galenastair.BackendServerID) Result {
	return func(galenastair.BackendServerID) Result { return r }
}

// At low load, a request stays in its caller's availability zone, since traffic between zones
// costs money and no caller would gain by it.
func TestStaysInZoneAtLowLoad(t *testing.T) {
	is := is.New(t)
	got := runRequests(t, testPool(), 100, 200*time.Millisecond, func(galenastair.BackendServerID) time.Duration { return 100 * time.Millisecond }, always(Succeeded))
	is.True(got["s3"] <= 2)
}

// Guards against patient streams that stay in their zone until its servers' running streams are late.
func TestPatientStreamLeavesItsZoneBeforeEventsAreLate(t *testing.T) {
	is := is.New(t)
	p := testPool()
	now := time.Now()
	q := testQuery()
	for _, id := range []galenastair.BackendServerID{"s1", "s2"} {
		waiting := q
		waiting.PromptTokens = 6000
		p.Begin(now, id, waiting)
	}
	q.TargetLatency = 10 * time.Second
	c, _ := p.Choose(now, q)
	is.Equal(c.AvailabilityZone, galenastair.AvailabilityZone("z1"))
	q.TargetEventGap = 400 * time.Millisecond
	c, _ = p.Choose(now, q)
	is.Equal(c.AvailabilityZone, galenastair.AvailabilityZone("z2"))
}

// In a burst, the servers of the local zone fill up. The server in the other zone must take its
// share, or callers would wait.
func TestBurstSpillsToOtherZones(t *testing.T) {
	is := is.New(t)
	got := runRequests(t, testPool(), 90, 5*time.Millisecond, func(galenastair.BackendServerID) time.Duration { return 2 * time.Second }, always(Succeeded))
	is.True(got["s3"] >= 20)
}

// One of three servers is five times slower than the others. It must lose its load within a few
// answers, but not all of it, so that its recovery is observed.
func TestSlowServerLosesItsLoad(t *testing.T) {
	is := is.New(t)
	took := func(id galenastair.BackendServerID) time.Duration {
		if id == "s1" {
			return time.Second
		}
		return 150 * time.Millisecond
	}
	got := runRequests(t, testPool(), 300, 50*time.Millisecond, took, always(Succeeded))
	is.True(got["s1"] < 45)
}

// One server fails half of its requests at once, and so appears idle. A choice by load alone would
// send it all requests.
func TestFailingServerIsEjected(t *testing.T) {
	is := is.New(t)
	got := runRequests(t, testPool(), 300, 20*time.Millisecond, func(galenastair.BackendServerID) time.Duration { return 30 * time.Millisecond },
		func(id galenastair.BackendServerID) Result {
			if id == "s1" {
				return Failed
			}
			return Succeeded
		})
	is.True(got["s1"] < 15)
}

// All servers fail, as in a network outage. Requests must still be sent, since ejecting all
// servers gains nothing.
func TestAllFailingServersStillGetRequests(t *testing.T) {
	is := is.New(t)
	got := runRequests(t, testPool(), 60, 20*time.Millisecond, func(galenastair.BackendServerID) time.Duration { return 10 * time.Millisecond }, always(Failed))
	is.Equal(got["s1"]+got["s2"]+got["s3"], 60)
}

// A server becomes unresponsive: its connections stay open and no data arrives. After the stall
// timeout, requests go to the others.
func TestStalledServerIsAvoided(t *testing.T) {
	is := is.New(t)
	p := testPool()
	a := p.Begin(start, "s1", testQuery())
	later := start.Add(3 * time.Second)
	for range 20 {
		c, ok := p.Choose(later, testQuery())
		is.True(ok)
		is.True(c.ID != "s1")
	}
	a.End(later, Failed)
}

// A request shares the first parts of its prompt with the one before. The server that has cached
// them is chosen, unless it is much busier than the others.
func TestServerWithCachedPrefixIsChosen(t *testing.T) {
	is := is.New(t)
	p := testPool()
	q := testQuery()
	q.PromptTokens, q.PromptParts = 8000, []galenastair.PromptPart{{ID: "long", Tokens: 7900}, {ID: "x", Tokens: 100}}
	a := p.Begin(start, "s2", q)
	a.Started(start.Add(400 * time.Millisecond))
	a.End(start.Add(500*time.Millisecond), Succeeded)
	q.PromptParts = []galenastair.PromptPart{{ID: "long", Tokens: 7900}, {ID: "y", Tokens: 100}}
	now := start.Add(time.Second)
	c, _ := p.Choose(now, q)
	is.Equal(c.ID, galenastair.BackendServerID("s2"))
	is.Equal(c.CachedTokens, galenastair.Tokens(7900))
	for range 12 {
		p.Begin(now, "s2", testQuery())
	}
	c, _ = p.Choose(now, q)
	is.True(c.ID != "s2")
}

// A prefix is cached only for the model that processed it: the same text has other cache entries
// for another model.
func TestPrefixKeysDependOnModel(t *testing.T) {
	is := is.New(t)
	a, b := testQuery().RequestHints, testQuery().RequestHints
	b.Model = "m/a1"
	is.True(prefixKeys(a)[0] != prefixKeys(b)[0])
}

// A leaving server gets no new requests while another holds the model. With the last copy, it gets
// them only within the grace period.
func TestLeavingServerGetsNoNewRequests(t *testing.T) {
	is := is.New(t)
	p := testPool(WithLeaveGrace(400 * time.Millisecond))
	p.Set(start, Server{ID: "s1", Service: "writer", Slots: 64, Incarnation: 1, Heartbeat: 2, Leaving: true, LeavingSince: start, Models: []galenastair.LoadedModel{{Name: "m"}}})
	for range 20 {
		c, ok := p.Choose(start, testQuery())
		is.True(ok)
		is.True(c.ID != "s1")
	}
	p.Remove("s2")
	p.Remove("s3")
	c, ok := p.Choose(start.Add(300*time.Millisecond), testQuery())
	is.True(ok)
	is.Equal(c.Reason, ReasonLastCopy)
	_, ok = p.Choose(start.Add(500*time.Millisecond), testQuery())
	is.True(!ok)
}

// A request that was to probe a server is refused before it is sent. If that counted as a probe,
// the server would stay ejected forever.
func TestUnsentProbeIsLeftToTheNextRequest(t *testing.T) {
	is := is.New(t)
	p := testPool()
	for range ejectAfterFailures {
		p.Begin(start, "s1", testQuery()).End(start, Failed)
	}
	later := start.Add(maxEjectionTime)
	for range 2 {
		c, ok := p.Choose(later, testQuery())
		is.True(ok)
		is.Equal(c.Reason, ReasonProbe)
	}
	p.Begin(later, "s1", testQuery())
	c, ok := p.Choose(later, testQuery())
	is.True(ok)
	is.True(c.Reason != ReasonProbe)
}

// A request that may not be repeated does not probe an ejected server.
func TestUnrepeatableRequestIsNoProbe(t *testing.T) {
	is := is.New(t)
	p := testPool()
	for range ejectAfterFailures {
		p.Begin(start, "s1", testQuery()).End(start, Failed)
	}
	later := start.Add(maxEjectionTime)
	q := testQuery()
	q.NoRetry = true
	for range 20 {
		c, _ := p.Choose(later, q)
		is.True(c.ID != "s1")
	}
	c, _ := p.Choose(later, testQuery())
	is.Equal(c.Reason, ReasonProbe)
	is.Equal(c.ID, galenastair.BackendServerID("s1"))
}

// A registration that was written before an adapter was loaded does not list it. The adapter must
// stay known, or each request would ask for it again.
func TestOverrideOutlastsOldRegistration(t *testing.T) {
	is := is.New(t)
	p := testPool()
	p.AddModel(start, "s1", "m/a9")
	old := Server{ID: "s1", Service: "writer", Slots: 64, Incarnation: 1, Heartbeat: 2, Models: []galenastair.LoadedModel{{Name: "m"}}}
	p.Set(start.Add(time.Second), old)
	is.True(p.HasModel("m/a9"))
	old.Heartbeat = 3
	p.Set(start.Add(overrideTTL+time.Second), old)
	is.True(!p.HasModel("m/a9"))
}

// A server restarts with the same ID and holds no models. An older registration must not restore
// them.
func TestRestartedServerHoldsNothing(t *testing.T) {
	is := is.New(t)
	p := testPool()
	p.Set(start, Server{ID: "s1", Service: "writer", Slots: 64, Incarnation: 2, Heartbeat: 1})
	p.Remove("s2")
	p.Remove("s3")
	c, ok := p.Choose(start, testQuery())
	is.True(!ok)
	is.Equal(c.Reason, ReasonNoModel)
}

// An engine declines requests for a model that it is about to unload. Further ones go to other
// engines, while its other models stay in use.
func TestFullAppliesToOneModel(t *testing.T) {
	is := is.New(t)
	p := testPool()
	p.Begin(start, "s1", testQuery()).End(start, Full)
	for range 20 {
		c, _ := p.Choose(start.Add(fullBackoff/2), testQuery())
		is.True(c.ID != "s1")
	}
	q := testQuery()
	q.Model = "m/a1"
	seen := false
	for range 40 {
		c, _ := p.Choose(start.Add(fullBackoff/2), q)
		seen = seen || c.ID == "s1"
	}
	is.True(seen)
}

// BenchmarkChoose measures one choice among the copies of a model in a large fleet.
func BenchmarkChoose(b *testing.B) {
	p := New("z1")
	for i := range 1900 {
		p.Set(start, Server{ID: galenastair.BackendServerID(strconv.Itoa(i)), Service: "writer", Slots: 64, Incarnation: 1, Heartbeat: 1,
			Models: []galenastair.LoadedModel{{Name: galenastair.ModelName("m" + strconv.Itoa(i%190))}}})
	}
	q := testQuery()
	q.Model = "m7"
	for b.Loop() {
		if _, ok := p.Choose(start, q); !ok {
			b.Fatal("no choice")
		}
	}
}

// An engine has crashed and refuses connections, but its registration stays. Requests skip it for
// a second without a probe. A request for a model that only it holds gets ReasonNoModel, so that
// it asks for another copy instead of being refused.
func TestDownEngineIsSkipped(t *testing.T) {
	is := is.New(t)
	p := testPool()
	p.Set(start, Server{ID: "s4", Service: "writer", AvailabilityZone: "z1", Slots: 64, Incarnation: 1, Heartbeat: 1,
		Models: []galenastair.LoadedModel{{Name: "rare"}}})
	gone := func(id galenastair.BackendServerID, q Query) {
		p.Begin(start, id, q).End(start, Down)
	}
	gone("s1", testQuery())
	for range 50 {
		c, ok := p.Choose(start, testQuery())
		is.True(ok)
		is.True(c.ID != "s1")
	}
	rare := testQuery()
	rare.Model = "rare"
	gone("s4", rare)
	is.Equal(len(p.Down(start)), 2)
	rare.Exclude = []galenastair.BackendServerID{"s4"}
	c, ok := p.Choose(start, rare)
	is.True(!ok)
	is.Equal(c.Reason, ReasonNoModel)
	is.Equal(len(p.Down(start.Add(downTTL))), 0)
}
