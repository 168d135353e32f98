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

// testPool is three servers of one service in two availability zones, with model m.
func testPool(opts ...Option) *Pool {
	p := New("z1", append([]Option{WithRand(rand.New(rand.NewPCG(1, 2)))}, opts...)...)
	for i, zone := range []galenastair.AvailabilityZone{"z1", "z1", "z2"} {
		p.Set(start, Server{
			ID: galenastair.BackendServerID("s" + strconv.Itoa(i+1)), Service: "writer", AvailabilityZone: zone,
			Slots: 64, Born: 1, Beat: 1, Models: []galenastair.EngineModel{{Name: "m", Adapters: []string{"a1"}}},
		})
	}
	return p
}

func testQuery() Query {
	return Query{Service: "writer", Aim: 800 * time.Millisecond, Hints: galenastair.Hints{Model: "m", Prompt: 2000, Output: 20,
		Parts: []galenastair.PromptPart{{ID: "shared", Tokens: 500}, {ID: "own", Tokens: 1500}}}}
}

// play sends n requests, one each gap, to servers that answer their first event after
// took and end a moment later; it returns how many each server got.
func play(t *testing.T, p *Pool, n int, gap time.Duration, took func(galenastair.BackendServerID) time.Duration, result func(galenastair.BackendServerID) Result) map[galenastair.BackendServerID]int {
	t.Helper()
	type event struct {
		at time.Time
		f  *Flight
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
				e.f.Started(e.at)
			}
			e.f.End(e.at, result(e.id))
		}
		running = rest
		q := testQuery()
		q.Parts[1].ID = strconv.Itoa(n)
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

// At low load a request stays in its caller's availability zone: bytes between zones
// cost, and nobody waits for it.
func TestStaysInZoneAtLowLoad(t *testing.T) {
	is := is.New(t)
	got := play(t, testPool(), 100, 200*time.Millisecond, func(galenastair.BackendServerID) time.Duration { return 100 * time.Millisecond }, always(Succeeded))
	is.True(got["s3"] <= 2)
}

// In a burst the own zone's servers fill up; their callers would wait, and the other
// zone's server takes its part.
func TestBurstLeavesTheZone(t *testing.T) {
	is := is.New(t)
	got := play(t, testPool(), 90, 5*time.Millisecond, func(galenastair.BackendServerID) time.Duration { return 2 * time.Second }, always(Succeeded))
	is.True(got["s3"] >= 20)
}

// One server of three answers five times slower than the others. It must lose its load
// within a few answers, and not all of it: it may get well again.
func TestSlowServerLosesItsLoad(t *testing.T) {
	is := is.New(t)
	took := func(id galenastair.BackendServerID) time.Duration {
		if id == "s1" {
			return time.Second
		}
		return 150 * time.Millisecond
	}
	got := play(t, testPool(), 300, 50*time.Millisecond, took, always(Succeeded))
	is.True(got["s1"] < 45)
}

// One server fails half of its requests at once, and so looks idle. Chosen by load
// alone it would draw all requests.
func TestFailingServerIsTakenOut(t *testing.T) {
	is := is.New(t)
	got := play(t, testPool(), 300, 20*time.Millisecond, func(galenastair.BackendServerID) time.Duration { return 30 * time.Millisecond },
		func(id galenastair.BackendServerID) Result {
			if id == "s1" {
				return Failed
			}
			return Succeeded
		})
	is.True(got["s1"] < 15)
}

// All servers fail, as when the network does: nothing is gained by taking all out, and
// requests still go somewhere.
func TestAllFailingServersStillGetRequests(t *testing.T) {
	is := is.New(t)
	got := play(t, testPool(), 60, 20*time.Millisecond, func(galenastair.BackendServerID) time.Duration { return 10 * time.Millisecond }, always(Failed))
	is.Equal(got["s1"]+got["s2"]+got["s3"], 60)
}

// A server goes dark: its connections stay open and nothing comes. After a silence the
// requests go to the others.
func TestDarkServerIsAvoided(t *testing.T) {
	is := is.New(t)
	p := testPool()
	f := p.Begin(start, "s1", testQuery())
	later := start.Add(3 * time.Second)
	for range 20 {
		c, ok := p.Choose(later, testQuery())
		is.True(ok)
		is.True(c.ID != "s1")
	}
	f.End(later, Failed)
}

// A caller's next request shares its prompt's first parts with the one before: the
// server that has read them is chosen, but not when it is much busier.
func TestPrefixIsFoundAgain(t *testing.T) {
	is := is.New(t)
	p := testPool()
	q := testQuery()
	q.Prompt, q.Parts = 8000, []galenastair.PromptPart{{ID: "long", Tokens: 7900}, {ID: "x", Tokens: 100}}
	f := p.Begin(start, "s2", q)
	f.Started(start.Add(400 * time.Millisecond))
	f.End(start.Add(500*time.Millisecond), Succeeded)
	q.Parts = []galenastair.PromptPart{{ID: "long", Tokens: 7900}, {ID: "y", Tokens: 100}}
	now := start.Add(time.Second)
	c, _ := p.Choose(now, q)
	is.Equal(c.ID, galenastair.BackendServerID("s2"))
	is.Equal(c.Cached, galenastair.Tokens(7900))
	for range 12 {
		p.Begin(now, "s2", testQuery())
	}
	c, _ = p.Choose(now, q)
	is.True(c.ID != "s2")
}

// A part is kept only for the model that read it: another model's weights make other
// cache entries of the same text.
func TestPrefixIsOfOneModel(t *testing.T) {
	is := is.New(t)
	a, b := testQuery().Hints, testQuery().Hints
	b.Model = "m/a1"
	is.True(partKeys(a)[0] != partKeys(b)[0])
}

// A leaving server gets nothing new while another has the model; alone with it, only
// within the grace, and nothing behind it.
func TestLeavingServerGetsNothingNew(t *testing.T) {
	is := is.New(t)
	p := testPool(WithLeaveGrace(400 * time.Millisecond))
	p.Set(start, Server{ID: "s1", Service: "writer", Slots: 64, Born: 1, Beat: 2, Leaving: true, LeavingSince: start, Models: []galenastair.EngineModel{{Name: "m"}}})
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

// The request that was to try a server out is refused before it is sent, and the server stays out
// for good.
func TestProbeThatIsNotSentLeavesTheServerToTheNext(t *testing.T) {
	is := is.New(t)
	p := testPool()
	for range failuresOut {
		p.Begin(start, "s1", testQuery()).End(start, Failed)
	}
	later := start.Add(longestRest)
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

// A request that may not be repeated doesn't try out a server that was taken out.
func TestOnceIsNoProbe(t *testing.T) {
	is := is.New(t)
	p := testPool()
	for range failuresOut {
		p.Begin(start, "s1", testQuery()).End(start, Failed)
	}
	later := start.Add(longestRest)
	q := testQuery()
	q.Once = true
	for range 20 {
		c, _ := p.Choose(later, q)
		is.True(c.ID != "s1")
	}
	c, _ := p.Choose(later, testQuery())
	is.Equal(c.Reason, ReasonProbe)
	is.Equal(c.ID, galenastair.BackendServerID("s1"))
}

// An adapter was fetched a moment ago; the next registration was written before that
// and does not list it. It must stay known, or each request would ask for it again.
func TestLearnedGoesBeforeOldRegistration(t *testing.T) {
	is := is.New(t)
	p := testPool()
	p.AddModel(start, "s1", "m/a9")
	old := Server{ID: "s1", Service: "writer", Slots: 64, Born: 1, Beat: 2, Models: []galenastair.EngineModel{{Name: "m"}}}
	p.Set(start.Add(time.Second), old)
	is.True(p.Known("m/a9"))
	old.Beat = 3
	p.Set(start.Add(heardFor+time.Second), old)
	is.True(!p.Known("m/a9"))
}

// A server starts again under its old id and holds nothing of before; a registration of
// the start before must not come back.
func TestRestartHoldsNothing(t *testing.T) {
	is := is.New(t)
	p := testPool()
	p.Set(start, Server{ID: "s1", Service: "writer", Slots: 64, Born: 2, Beat: 1})
	p.Remove("s2")
	p.Remove("s3")
	c, ok := p.Choose(start, testQuery())
	is.True(!ok)
	is.Equal(c.Reason, ReasonNoModel)
}

// An engine declines requests for a model that it is about to give up; the next go to
// the others, while its other models stay in use.
func TestFullIsOfOneModel(t *testing.T) {
	is := is.New(t)
	p := testPool()
	p.Begin(start, "s1", testQuery()).End(start, Full)
	for range 20 {
		c, _ := p.Choose(start.Add(fullFor/2), testQuery())
		is.True(c.ID != "s1")
	}
	q := testQuery()
	q.Model = "m/a1"
	seen := false
	for range 40 {
		c, _ := p.Choose(start.Add(fullFor/2), q)
		seen = seen || c.ID == "s1"
	}
	is.True(seen)
}

// BenchmarkChoose is the cost of one choice among the copies of a model in a large fleet.
func BenchmarkChoose(b *testing.B) {
	p := New("z1")
	for i := range 1900 {
		p.Set(start, Server{ID: galenastair.BackendServerID(strconv.Itoa(i)), Service: "writer", Slots: 64, Born: 1, Beat: 1,
			Models: []galenastair.EngineModel{{Name: galenastair.ModelName("m" + strconv.Itoa(i%190))}}})
	}
	q := testQuery()
	q.Model = "m7"
	for b.Loop() {
		if _, ok := p.Choose(start, q); !ok {
			b.Fatal("no choice")
		}
	}
}

// Nothing listens at an engine's address: its process has crashed, and its registration
// stays. Requests go to the others for a second, without a try there; where it had the only
// copy the request asks for another place, in place of a refusal as "all were tried".
func TestAbsentEngineIsLeftAlone(t *testing.T) {
	is := is.New(t)
	p := testPool()
	p.Set(start, Server{ID: "s4", Service: "writer", AvailabilityZone: "z1", Slots: 64, Born: 1, Beat: 1,
		Models: []galenastair.EngineModel{{Name: "rare"}}})
	gone := func(id galenastair.BackendServerID, q Query) {
		p.Begin(start, id, q).End(start, Absent)
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
	is.Equal(len(p.Absent(start)), 2)
	rare.Exclude = []galenastair.BackendServerID{"s4"}
	c, ok := p.Choose(start, rare)
	is.True(!ok)
	is.Equal(c.Reason, ReasonNoModel)
	is.Equal(len(p.Absent(start.Add(absentFor))), 0)
}
