package planner

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"galenastair"
	"galenastair/catalog"
	"galenastair/claim"
	"galenastair/pool"
	"galenastair/quota"
	"galenastair/ratelimit"
)

// Engines are never ordered to hold more than they can, although demand shifts, a third of the
// orders get no answer, half of those take effect seconds later, registrations arrive late,
// engines restart, and the lease changes hands.
func TestOrdersNeverExceedEngineCapacity(t *testing.T) {
	for seed := range uint64(12) {
		h := newHarness(t, seed, 4)
		f := h.fleet
		f.lossRate = 0.33
		hot := 0
		for n := range 400 {
			if n%40 == 0 {
				hot = f.rng.IntN(10)
			}
			name := galenastair.ModelName(fmt.Sprintf("m%d", hot))
			demands := map[galenastair.ModelName]time.Duration{name: tokens(8000), galenastair.ModelName(fmt.Sprintf("m%d", f.rng.IntN(10))): tokens(900)}
			demands[name+"/a1"] = tokens(2000)
			h.reportDemand(demands)
			for _, e := range f.fakes {
				if n%6 == 0 {
					f.registrations = append(f.registrations, delayedRegistration{f.clock.now.Add(time.Duration(f.rng.IntN(9000)) * time.Millisecond), e.registration()})
				}
				if f.rng.IntN(400) == 0 {
					*e = fakeEngine{id: e.id, incarnation: e.incarnation + 1, models: map[galenastair.ModelName][]string{}}
					f.registrations = append(f.registrations, delayedRegistration{f.clock.now.Add(300 * time.Millisecond), e.registration()})
				}
			}
			if f.rng.IntN(60) == 0 {
				h.lease.holds = !h.lease.holds
				h.lease.fence++
			}
			h.step(200 * time.Millisecond)
			for _, e := range f.fakes {
				if e.violation != "" {
					t.Fatalf("seed %d, step %d: %s", seed, n, e.violation)
				}
			}
		}
	}
}

// A model with much more demand than one engine can serve gets further copies within seconds, and
// every other model in demand keeps one.
func TestBusyModelGetsCopies(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 1, 4)
	for range 60 {
		h.reportDemand(map[galenastair.ModelName]time.Duration{"m0": tokens(12000), "m4": tokens(300), "m7": tokens(300)})
		h.step(200 * time.Millisecond)
		for _, e := range h.fleet.fakes {
			is.NoErr(h.planner.SetServer(t.Context(), e.registration()))
		}
	}
	copies := map[galenastair.ModelName]int{}
	for _, e := range h.fleet.fakes {
		for name := range e.models {
			copies[name]++
		}
	}
	is.True(copies["m0"] >= 2)
	is.True(copies["m4"] >= 1)
	is.True(copies["m7"] >= 1)
}

// An engine with the only copy of a model crashes, and its registration stays for some seconds.
// When an instance reports that the engine refuses connections, the model is loaded elsewhere
// before the registration expires. Once no instance reports it any more, the engine is used again.
// The test fails without markDown, as no other engine then loads the model.
func TestCopiesOfADownEngineAreReplaced(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 1, 4)
	h.step(time.Second)
	const only = "m3"
	before := h.enginesWithM3()
	is.Equal(len(before), 1)
	for range 10 {
		_, err := h.planner.Exchange(t.Context(), Report{
			Instance: "i", Demands: map[galenastair.ModelName]time.Duration{only: tokens(500)}, Down: before,
		})
		is.NoErr(err)
		h.step(200 * time.Millisecond)
	}
	is.True(len(h.enginesWithM3()) > 1)
	h.do(func() { is.True(!h.planner.services["writer"].up(before[0])) })
	h.step(downTTL)
	h.do(func() { is.True(h.planner.services["writer"].up(before[0])) })
}

// Guards against a model whose only copy stands in an evacuated availability zone: another engine
// must load it, and engines of the zone get no loads until the zone is taken back.
func TestModelsOfAnEvacuatedZoneAreLoadedElsewhere(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 1, 4)
	h.step(time.Second)
	const only = "m3"
	before := h.enginesWithM3()
	is.Equal(len(before), 1)
	moved := h.fleet.fakes[string(before[0])].registration()
	moved.AvailabilityZone = "z2"
	moved.Heartbeat += 100
	is.NoErr(h.planner.SetServer(t.Context(), moved))
	is.NoErr(h.planner.SetEvacuated(t.Context(), []galenastair.AvailabilityZone{"z2"}))
	for range 10 {
		_, err := h.planner.Exchange(t.Context(), Report{Instance: "i", Demands: map[galenastair.ModelName]time.Duration{only: tokens(500)}})
		is.NoErr(err)
		h.step(200 * time.Millisecond)
	}
	is.True(len(h.enginesWithM3()) > 1)
	h.do(func() { is.True(!h.planner.services["writer"].up(before[0])) })
	is.NoErr(h.planner.SetEvacuated(t.Context(), nil))
	h.do(func() { is.True(h.planner.services["writer"].up(before[0])) })
}

// A rate-limited engine has the only copy of a model. Callers are refused until another engine
// holds it.
func TestModelOfALimitedEngineIsLoadedElsewhere(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 1, 4)
	h.step(time.Second)
	const only = "m3"
	before := h.enginesWithM3()
	is.Equal(len(before), 1)
	report := Report{
		Instance: "i", Demands: map[galenastair.ModelName]time.Duration{only: tokens(500)},
		Limits: []ratelimit.Limit{{Server: before[0], PerSecond: 1}},
	}
	for range 10 {
		update, err := h.planner.Exchange(t.Context(), report)
		is.NoErr(err)
		is.Equal(len(update.Limits), 1)
		h.step(200 * time.Millisecond)
	}
	is.True(len(h.enginesWithM3()) > 1)
	preferred := func() (is bool) {
		h.do(func() {
			s := h.planner.services["writer"]
			is = s.preferred(s.engines[before[0]])
		})
		return is
	}
	is.True(!preferred())
	report.Limits[0].PerSecond = 0
	_, err := h.planner.Exchange(t.Context(), report)
	is.NoErr(err)
	is.True(preferred())
}

// A rate-limited engine receives no more requests, so no answer can clear its limit. Without
// expiry, no model would be loaded there again.
func TestLimitExpiresWithoutAnswers(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 1, 4)
	h.step(time.Second)
	id := h.enginesWithM3()[0]
	report := func(age time.Duration) bool {
		_, err := h.planner.Exchange(t.Context(), Report{Instance: "i", Limits: []ratelimit.Limit{{Server: id, PerSecond: 1, Age: age}}})
		is.NoErr(err)
		preferred := false
		h.do(func() {
			s := h.planner.services["writer"]
			preferred = s.preferred(s.engines[id])
		})
		return preferred
	}
	is.True(!report(0))
	h.step(limitTTL / 2)
	is.True(!report(limitTTL / 2))
	h.step(limitTTL)
	is.True(report(3 * limitTTL / 2))
}

// enginesWithM3 returns the engines that hold model m3, which is on one engine at first.
func (h *harness) enginesWithM3() (ids []galenastair.BackendServerID) {
	for _, e := range h.fleet.fakes {
		if _, ok := e.models["m3"]; ok {
			ids = append(ids, e.id)
		}
	}
	return ids
}

func (s *service) up(id galenastair.BackendServerID) bool { return !s.engines[id].server.Leaving }

// For an adapter that no engine holds, EnsureLoaded returns an engine that has it by the time given.
func TestNeedLoadsAnAdapter(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 1, 2)
	h.step(time.Second)
	h.step(time.Second)
	where, err := h.planner.EnsureLoaded(t.Context(), "m3/a2")
	is.NoErr(err)
	h.settle()
	is.True(where.Server != "")
	is.True(slices.Contains(h.fleet.fakes[string(where.Server)].models["m3"], "a2"))
	none, err := h.planner.EnsureLoaded(t.Context(), "m3/a99")
	is.NoErr(err)
	is.Equal(none.Server, galenastair.BackendServerID(""))
}

// A registration arrives while an order is being sent. If the sending goroutine read the address
// from the registration, it would race with the control loop that writes it. The race detector
// finds this failure.
func TestRegistrationWhileAnOrderIsSent(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 1, 2)
	h.step(time.Second)
	h.step(time.Second)
	var models [2][]galenastair.LoadedModel
	for i := range models {
		models[i] = h.fleet.fakes[fmt.Sprintf("e%d", i)].listModels()
	}
	beat := int64(1000)
	registrations := func() {
		for i := range models {
			id := fmt.Sprintf("e%d", i)
			beat++
			is.NoErr(h.planner.SetServer(t.Context(), pool.Server{
				ID: galenastair.BackendServerID(id), Service: "writer", Address: id, Slots: 64, Incarnation: 1, Heartbeat: beat, Models: models[i],
			}))
		}
	}
	for range 10 {
		h.do(func() {
			svc := h.planner.services["writer"]
			for _, e := range svc.engines {
				e.enqueue(h.planner.clock.Now(), queuedOrder{kind: galenastair.UnloadModel, model: "other"})
				h.planner.sendNextOrder(h.planner.clock.Now(), svc, e)
			}
		})
		registrations()
		h.settle()
	}
}

// For a model without an engine to load it, EnsureLoaded returns the time of a load, after which
// callers retry.
func TestNeedEstimatesModelLoad(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 1, 2)
	h.do(func() { clear(h.planner.services["writer"].engines) })
	where, err := h.planner.EnsureLoaded(t.Context(), "m3")
	is.NoErr(err)
	is.Equal(where.Server, galenastair.BackendServerID(""))
	is.Equal(where.ReadyIn, evictionTime+time.Second)
}

// Guards against callers that are refused because a load counts as one from the weight store, though
// an engine has the weights in its memory or on its disk.
func TestNeedEstimatesLoadsFromMemoryAndDisk(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 1, 2)
	h.step(time.Second)
	h.do(func() {
		s := h.planner.services["writer"]
		m := s.modelSet.models["m0"]
		m.LoadTime, m.MemoryLoadTime, m.DiskLoadTime = 9*time.Second, 1200*time.Millisecond, 2400*time.Millisecond
		now := h.planner.clock.Now()
		for _, e := range s.engines {
			delete(e.models, "m0")
			e.server.CachedModels, e.server.InMemoryModels = nil, nil
		}
		is.Equal(s.predictModelLoad(now, "m0").ReadyIn, evictionTime+9*time.Second)
		disk, memory := s.engines["e0"], s.engines["e1"]
		disk.server.CachedModels = []galenastair.ModelName{"m0"}
		is.Equal(s.predictModelLoad(now, "m0").ReadyIn, evictionTime+2400*time.Millisecond)
		memory.server.CachedModels, memory.server.InMemoryModels = disk.server.CachedModels, disk.server.CachedModels
		is.Equal(s.predictModelLoad(now, "m0").ReadyIn, evictionTime+1200*time.Millisecond)
		load := queuedOrder{kind: galenastair.LoadModel, model: "m0"}
		disk.reserve(now, load)
		disk.accepted(now, load)
		s.recordLoadTime(disk, load)
		// the load itself leaves a copy in memory
		disk.server.InMemoryModels = disk.server.CachedModels
		where := s.predictModelLoad(now.Add(time.Second), "m0")
		is.Equal(where.Server, galenastair.BackendServerID("e0"))
		is.Equal(where.ReadyIn, 1400*time.Millisecond)
	})
}

// An instance without the lease answers with ErrNotLeader.
func TestOnlyTheLeaseHolderAnswers(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 1, 2)
	h.lease.holds = false
	_, err := h.planner.Exchange(t.Context(), Report{Instance: "i"})
	is.True(errors.Is(err, ErrNotLeader))
	_, err = h.planner.EnsureLoaded(t.Context(), "m0")
	is.True(errors.Is(err, ErrNotLeader))
	_, err = h.planner.Borrow(t.Context(), quota.LoanRequest{Organisation: "o", Amount: 1})
	is.True(errors.Is(err, ErrNotLeader))
}

// Two instances ask for the same adapter at the same time. The second must wait for the load that
// the first has started, rather than be refused because no engine without the adapter is left.
func TestNeedWaitsForALoadUnderWay(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 1, 2)
	h.step(time.Second)
	h.step(time.Second)
	h.do(func() {
		for id, e := range h.planner.services["writer"].engines {
			clear(e.adapters)
			fake := h.fleet.fakes[string(id)]
			for m := range fake.models {
				fake.models[m] = nil
			}
		}
	})
	var where [3]Availability
	var waits [3]<-chan bool
	h.do(func() {
		for i := range where {
			where[i], waits[i] = h.planner.locate("m3/a2")
		}
	})
	h.settle()
	for i := range where {
		is.True(where[i].Server != "")
		is.Equal(where[i].Server, where[0].Server)
		is.True(<-waits[i])
	}
}

// unrenewableLease is the lease of a leader that temporarily cannot renew it.
type unrenewableLease struct{ fakeLease }

func (*unrenewableLease) OrderFence() (galenastair.Fence, bool) { return 0, false }
func (*unrenewableLease) Holds() bool                           { return false }
func (*unrenewableLease) ServesPeers() bool                     { return true }

// While the store is slow and the lease cannot be renewed, the leader still answers where a model
// is. Otherwise instances that do not know of the copy yet would refuse their callers.
func TestNeedIsAnsweredWhileTheLeaseCannotBeRenewed(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 1, 2)
	h.step(time.Second)
	h.step(time.Second)
	h.do(func() { h.planner.lease = &unrenewableLease{} })
	where, err := h.planner.EnsureLoaded(t.Context(), "m3")
	is.NoErr(err)
	is.Equal(where.Server, galenastair.BackendServerID("e1"))
	// no order is sent meanwhile
	h.do(func() { clear(h.planner.services["writer"].engines["e1"].adapters) })
	where, err = h.planner.EnsureLoaded(t.Context(), "m3/a2")
	is.NoErr(err)
	is.Equal(where.Server, galenastair.BackendServerID(""))
}

// A service is added during a term, and one of its loads takes long. If the new service did not
// know that this instance leads, the next registration would remove the load, and its memory would
// be allocated twice.
func TestServiceAddedDuringATermKeepsOrderedLoads(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 1, 1)
	h.step(time.Second)
	is.NoErr(h.planner.SetCatalog(t.Context(), catalog.New(2, catalog.Limits{}, nil, []*catalog.Service{{Name: "reader", Engine: &catalog.Engine{
		Slots: 64, Memory: 230 * gigabyte, LoadsPerSecond: 3, Models: []catalog.Model{{Name: "m", Memory: 70 * gigabyte, LoadTime: 6 * time.Second}},
	}}}, nil)))
	empty := pool.Server{ID: "r0", Service: "reader", Address: "r0", Slots: 64, Incarnation: 1, Heartbeat: 1}
	is.NoErr(h.planner.SetServer(t.Context(), empty))
	load := queuedOrder{kind: galenastair.LoadModel, model: "m"}
	var e *engine
	h.do(func() {
		e = h.planner.services["reader"].engines["r0"]
		e.reserve(h.fleet.clock.now, load)
		e.accepted(h.fleet.clock.now, load)
	})
	h.fleet.clock.now = h.fleet.clock.now.Add(confirmTimeout + time.Second)
	empty.Heartbeat++
	is.NoErr(h.planner.SetServer(t.Context(), empty))
	counted := false
	h.do(func() { counted = e.models["m"] != nil })
	is.True(counted)
}

// Guards against one crash that is announced in each exchange and counted as several, so that requests
// that were only running on the crashed server are refused.
func TestCrashIsAnnouncedToEachInstanceOnce(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 1, 1)
	h.step(time.Second)
	_, err := h.planner.Exchange(t.Context(), Report{Instance: "a", Crashes: []claim.Crash{{Digest: "d", Server: "s1@1"}}})
	is.NoErr(err)
	var announced int
	var last int64
	for range 4 {
		u, err := h.planner.Exchange(t.Context(), Report{Instance: "b", LastChange: last})
		is.NoErr(err)
		announced += len(u.Crashes)
		last = u.LastChange
		h.step(300 * time.Millisecond)
	}
	is.Equal(announced, 1)
}

// Guards against an instance that was cut off while crashes were announced and knows nothing of the requests
// that all others refuse.
func TestInstanceThatMissedCrashesLearnsWhatIsRefused(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 1, 1)
	crash := claim.Crash{Digest: "d", Server: "s1@1"}
	h.planner.refused = func(time.Time) []claim.Crash { return []claim.Crash{crash} }
	h.step(time.Second)
	exchange := func(r Report) Update {
		u, err := h.planner.Exchange(t.Context(), r)
		is.NoErr(err)
		return u
	}
	first := exchange(Report{Instance: "b"})
	is.Equal(first.Crashes, []claim.Crash{crash})
	is.Equal(len(exchange(Report{Instance: "b", LastChange: first.LastChange}).Crashes), 0)
	exchange(Report{Instance: "a", Crashes: []claim.Crash{crash}})
	h.step(changeTTL + time.Second)
	exchange(Report{Instance: "a"})
	late := exchange(Report{Instance: "b", LastChange: first.LastChange})
	is.Equal(late.Crashes, []claim.Crash{crash})
	is.Equal(len(exchange(Report{Instance: "b", LastChange: late.LastChange}).Crashes), 0)
}

// Guards against crashes that count for an instance after the request has been completed, and against one
// announcement for each instance that completes it.
func TestCompletionsThatClearCrashesAreAnnouncedOnce(t *testing.T) {
	is := is.New(t)
	p := &Planner{refused: func(time.Time) []claim.Crash { return nil }}
	now := time.Unix(1000, 0)
	report := func(from galenastair.InstanceID, crashes ...claim.Crash) {
		p.addCrashes(now, Report{Instance: from, Crashes: crashes})
	}
	crash := func(s claim.ServerProcess) claim.Crash { return claim.Crash{Digest: "d", Server: s} }
	other, clearance := claim.Crash{Digest: "e", Server: "s1@1"}, claim.Clearance("d")
	report("a", crash("s1@1"), other, crash("s2@1"))
	report("b", crash("s1@1"), clearance)
	report("c", clearance)
	report("c", crash("s3@1"))
	is.Equal(p.crashesSince(now, Report{Instance: "d"}), []claim.Crash{other, clearance, crash("s3@1")})
	report("a", clearance)
	is.Equal(p.crashesSince(now, Report{Instance: "d"}), []claim.Crash{other, clearance})
	is.Equal(p.crashesSince(now, Report{Instance: "a"}), []claim.Crash(nil))
}
