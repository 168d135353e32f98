package route

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"galenastair"
)

var start = time.Unix(1000, 0)

func id(i int) galenastair.BackendServerID {
	return galenastair.BackendServerID(fmt.Sprint("engine-", i))
}

// newTestRouter returns a router with n backend servers that all have the models ready.
func newTestRouter(n int, models ...galenastair.ModelName) *Router {
	r := New(rand.New(rand.NewPCG(1, 2)))
	var list []Server
	for i := range n {
		list = append(list, Server{ID: id(i)})
	}
	r.SetServers(start, list)
	for i := range n {
		r.ApplyReport(start, report(i, models...))
	}
	return r
}

func report(i int, models ...galenastair.ModelName) galenastair.EngineReport {
	rep := galenastair.EngineReport{BackendServer: id(i)}
	for _, m := range models {
		rep.Loaded = append(rep.Loaded, galenastair.LoadedWeights{Weight: galenastair.ModelWeights{Name: m}, State: galenastair.LoadStateReady})
	}
	return rep
}

// answer sends one request through the router. Its first token takes the time that took
// returns for the chosen backend server.
func (r *Router) answer(now time.Time, q Query, took func(galenastair.BackendServerID) time.Duration) Decision {
	d, ok := r.Choose(now, q)
	if !ok {
		return d
	}
	r.Sent(now, d.Server, q.PrefixHashes)
	first := took(d.Server)
	r.FirstToken(now, d.Server, first, 100)
	r.Done(now, d.Server, Result{Answered: true, InterTokenLatency: first / 4})
	return d
}

// One of nine backend servers responds ten times slower than the others. After a few
// responses it must get only occasional probes, and its share again once it has recovered.
// Fails without DetectOutliers.
func TestSlowBackendServerIsEjectedAndProbed(t *testing.T) {
	is := is.New(t)
	r := newTestRouter(9, "m")
	slow := true
	took := func(s galenastair.BackendServerID) time.Duration {
		if s == id(3) && slow {
			return time.Second
		}
		return 80 * time.Millisecond
	}
	now := start
	sent := map[galenastair.BackendServerID]int{}
	reasons := map[Reason]int{}
	for range 2000 {
		now = now.Add(10 * time.Millisecond)
		r.DetectOutliers(now)
		for i := range 9 {
			r.servers[id(i)].reportedAt = now
		}
		d := r.answer(now, Query{Model: "m"}, took)
		sent[d.Server]++
		reasons[d.Reason]++
	}
	is.True(sent[id(3)] < 40) // Its equal share would be about 220.
	is.True(reasons[Probe] > 0)
	slow = false
	for range 8000 {
		now = now.Add(10 * time.Millisecond)
		r.DetectOutliers(now)
		for i := range 9 {
			r.servers[id(i)].reportedAt = now
		}
		sent[r.answer(now, Query{Model: "m"}, took).Server]++
	}
	is.True(sent[id(3)] > 200) // It gets its share again.
}

// A backend server accepts requests and never responds. It returns no error, and its in-flight
// requests look like those of a busy server, so that only its silence shows the fault. Fails
// without the rule on silence in isOutlier.
func TestSilentBackendServerIsEjected(t *testing.T) {
	is := is.New(t)
	r := newTestRouter(4, "m")
	now := start
	lost := 0
	for range 1000 {
		now = now.Add(10 * time.Millisecond)
		r.DetectOutliers(now)
		d, ok := r.Choose(now, Query{Model: "m"})
		is.True(ok)
		r.Sent(now, d.Server, nil)
		if d.Server == id(0) {
			lost++
			continue
		}
		r.FirstToken(now, d.Server, 80*time.Millisecond, 100)
		r.Done(now, d.Server, Result{Answered: true})
	}
	is.True(lost <= initialWindow)
	is.True(r.servers[id(0)].health.ejected)
}

// One, four or all of nine backend servers fail, for instance with a network link, and among
// them is the only one with a copy of a model. Ejecting all of them would move their load to
// the rest and leave no server for that model. Fails with maxEjectedShare at 1, and if
// lastResort never returns a server.
func TestEjectionKeepsEnoughServersAndLastCopy(t *testing.T) {
	for _, failing := range []int{1, 4, 9} {
		is := is.New(t)
		r := newTestRouter(9, "m")
		r.ApplyReport(start, report(0, "m", "single"))
		now := start
		for i := range 3000 {
			now = now.Add(10 * time.Millisecond)
			for i := range 9 {
				r.servers[id(i)].reportedAt = now
			}
			r.DetectOutliers(now)
			q := Query{Model: "m"}
			if i%2 == 0 {
				q.Model = "single"
			}
			d, ok := r.Choose(now, q)
			is.True(ok)
			r.Sent(now, d.Server, nil)
			fails := d.Server < id(failing)
			if !fails {
				r.FirstToken(now, d.Server, time.Millisecond, 0)
			}
			r.Done(now, d.Server, Result{Answered: !fails, Failed: fails})
		}
		out := 0
		for _, s := range r.list {
			if s.health.ejected {
				out++
			}
		}
		is.True(out <= 3)
		is.True(failing == 9 || out > 0)
	}
}

func TestLeavingAndExcludedGetNoRequests(t *testing.T) {
	is := is.New(t)
	r := newTestRouter(3, "m")
	r.SetServers(start, []Server{{ID: id(0), Leaving: true}, {ID: id(1)}, {ID: id(2)}})
	for range 100 {
		d, ok := r.Choose(start, Query{Model: "m", Exclude: []galenastair.BackendServerID{id(2)}})
		is.True(ok)
		is.Equal(d.Server, id(1))
		is.Equal(d.Reason, OnlyCopy)
	}
	r.SetServers(start, []Server{{ID: id(0), Leaving: true}})
	late := start.Add(leavingGrace)
	_, ok := r.Choose(late, Query{Model: "m"})
	is.True(!ok)
}

// The only backend server with a model begins to leave. It must serve requests for that model
// for two more seconds, while another copy is loaded, and get no new ones afterwards. Fails if
// inLeavingGrace always returns the same value.
func TestLeavingOnlyCopyServesDuringGrace(t *testing.T) {
	is := is.New(t)
	r := newTestRouter(2, "m")
	r.ApplyReport(start, report(0, "m", "only"))
	for _, leaves := range []time.Duration{0, time.Second} { // It is listed repeatedly.
		r.SetServers(start.Add(leaves), []Server{{ID: id(0), Leaving: true}, {ID: id(1)}})
	}
	for at, want := range map[time.Duration]bool{0: true, leavingGrace - 1: true, leavingGrace: false, time.Minute: false} {
		d, ok := r.Choose(start.Add(at), Query{Model: "only"})
		is.Equal(ok, want)
		is.True(!ok || d.Reason == LastCopy)
		is.Equal(r.HasCopy(start.Add(at), "only", nil), want)
		d, ok = r.Choose(start.Add(at), Query{Model: "m"})
		is.True(ok && d.Server == id(1))
	}
}

// Requests with a cached prompt prefix return to the backend server that has it cached, but a
// popular template must not queue there while other servers idle. Fails with
// affinityLoadFactor at 1,000 and without affinity.
func TestAffinityIsBoundedByLoad(t *testing.T) {
	is := is.New(t)
	r := newTestRouter(4, "m")
	prompt := bytes.Repeat([]byte("Today we played in the garden. "), 40)
	q := Query{Model: "m", PrefixHashes: PrefixHashes("m", prompt)}
	first := r.answer(start, q, func(galenastair.BackendServerID) time.Duration { return time.Millisecond })
	again, _ := r.Choose(start, q)
	is.Equal(again.Server, first.Server)
	is.Equal(again.Reason, PrefixAffinity)
	is.Equal(again.CachedBlocks, len(q.PrefixHashes))
	for _, s := range r.list {
		s.window.limit = 100
	}
	for range 40 {
		d, ok := r.Choose(start, q)
		is.True(ok)
		r.Sent(start, d.Server, q.PrefixHashes)
	}
	for _, s := range r.list {
		is.True(s.inFlight <= 15) // affinityLoadFactor times the mean plus affinitySlack
	}
}

func TestPrefixHashesShareCommonPrefix(t *testing.T) {
	is := is.New(t)
	a := append(bytes.Repeat([]byte("a"), 600), bytes.Repeat([]byte("b"), 600)...)
	b := append(bytes.Repeat([]byte("a"), 600), bytes.Repeat([]byte("c"), 600)...)
	x, y := PrefixHashes("m", a), PrefixHashes("m", b)
	is.Equal(len(x), 4)
	is.Equal(x[:2], y[:2])
	is.True(x[2] != y[2])
	is.True(PrefixHashes("n", a)[0] != x[0])
}

// An eviction event removes the affinity, and the size of the index is bounded for any number
// of prompts.
func TestIndexEvictsPrefixes(t *testing.T) {
	is := is.New(t)
	r := newTestRouter(2, "m")
	r.ApplyCacheEvents(id(0), []galenastair.CacheEvent{{Model: "m", Prefix: 7}})
	_, n := r.index.longest([]uint64{7})
	is.Equal(n, 1)
	r.ApplyCacheEvents(id(0), []galenastair.CacheEvent{{Model: "m", Prefix: 7, Evicted: true}})
	_, n = r.index.longest([]uint64{7})
	is.Equal(n, 0)
	for h := range uint64(3 * maxGenerationSize) {
		r.index.add(h, r.list[0])
	}
	is.True(len(r.index.currentGeneration)+len(r.index.previousGeneration) <= 2*maxGenerationSize)
}

// A backend server processes long prompts while its peers idle: its first tokens take ten times
// as long, but the following ones arrive in time. Ejecting it would move its load to the others
// and slow all requests. Fails with minSlowFirstToken at a tenth of its value.
func TestBusyBackendServerIsNotEjected(t *testing.T) {
	is := is.New(t)
	r := newTestRouter(9, "m")
	now := start
	for i := range 2000 {
		now = now.Add(10 * time.Millisecond)
		for i := range 9 {
			r.servers[id(i)].reportedAt = now
		}
		r.DetectOutliers(now)
		is.Equal(len(r.Unhealthy()), 0)
		s := id(i % 9)
		first := 80 * time.Millisecond
		if s == id(3) {
			first = 800 * time.Millisecond
		}
		r.Sent(now, s, nil)
		r.FirstToken(now, s, first, 100)
		r.Done(now, s, Result{Answered: true, InterTokenLatency: 50 * time.Millisecond})
		is.True(!r.servers[id(3)].health.ejected)
	}
}

// A backend server crashes twice and restarts without models. It can be probed only by a
// request for a loaded model, and no model is loaded there while it counts as unhealthy.
// It must therefore not count as unhealthy after its ejection time.
func TestEmptyBackendServerIsNotUnhealthyForever(t *testing.T) {
	is := is.New(t)
	r := newTestRouter(4, "m")
	now := start
	report := func(models ...galenastair.LoadedWeights) {
		for i := range 4 {
			r.servers[id(i)].reportedAt = now
		}
		r.ApplyReport(now, galenastair.EngineReport{BackendServer: id(1), Loaded: models})
	}
	fail := func() {
		for range maxConsecutiveFailures {
			r.Sent(now, id(1), nil)
			r.Done(now, id(1), Result{Failed: true})
		}
		now = now.Add(reviewPeriod)
		r.DetectOutliers(now)
	}
	fail()
	is.True(r.servers[id(1)].health.ejected)
	now = now.Add(baseEjectionTime + time.Second)
	r.servers[id(1)].health.uneject()
	fail()
	is.Equal(r.Unhealthy(), []galenastair.BackendServerID{id(1)})
	report()
	now = now.Add(2*baseEjectionTime + time.Second)
	report()
	r.DetectOutliers(now)
	is.Equal(len(r.Unhealthy()), 0)
	// With a copy loaded it is unhealthy again until a probe succeeds.
	report(galenastair.LoadedWeights{Weight: galenastair.ModelWeights{Name: "m"}, State: galenastair.LoadStateReady})
	is.Equal(r.Unhealthy(), []galenastair.BackendServerID{id(1)})
	r.servers[id(1)].health.probing = true
	r.Sent(now, id(1), nil)
	r.FirstToken(now, id(1), 10*time.Millisecond, 10)
	is.Equal(len(r.Unhealthy()), 0)
}
