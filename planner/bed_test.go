package planner

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"galenastair"
	"galenastair/catalog"
	"galenastair/control"
	"galenastair/pool"
	"galenastair/quota"
)

// fakeClock is advanced by the test.
type fakeClock struct{ now time.Time }

func (c *fakeClock) Now() time.Time { return c.now }

// fakeLease is a lease that the test grants and revokes.
type fakeLease struct {
	holds bool
	fence galenastair.Fence
}

func (l *fakeLease) OrderFence() (galenastair.Fence, bool) { return l.fence, l.holds }
func (l *fakeLease) Holds() bool                           { return l.holds }
func (l *fakeLease) ServesPeers() bool                     { return l.holds }
func (l *fakeLease) FenceRejected(galenastair.Fence)       { l.holds = false }

// errLost is returned for an order without an answer.
var errLost = errors.New("no answer")

// delayedOrder is an order that takes effect after its answer was lost.
type delayedOrder struct {
	at    time.Time
	order galenastair.EngineOrder
}

// fakeEngine simulates how a model engine executes orders.
type fakeEngine struct {
	id            galenastair.BackendServerID
	incarnation   int64
	heartbeat     int64
	sequence      int64
	fence         galenastair.Fence
	models        map[galenastair.ModelName][]string
	delayedOrders []delayedOrder
	violation     string
}

const (
	maxModels   = 3
	maxAdapters = 2
)

// apply executes an order only if its sequence number is the number of accepted orders, as engines
// do.
func (e *fakeEngine) apply(o galenastair.EngineOrder) galenastair.OrderResult {
	if o.Fence < e.fence {
		return galenastair.OrderStaleFence
	}
	e.fence = o.Fence
	if o.ExpectedSequence != e.sequence {
		return galenastair.OrderConflict
	}
	held, loaded := e.models[o.Model]
	has := loaded && (o.Adapter == "" || slices.Contains(held, o.Adapter))
	if has == (o.Kind == galenastair.LoadModel) {
		return galenastair.OrderDone
	}
	if o.Adapter != "" && !loaded {
		return galenastair.OrderInvalid
	}
	e.sequence++
	switch {
	case o.Adapter != "" && o.Kind == galenastair.LoadModel:
		e.models[o.Model] = append(held, o.Adapter)
	case o.Adapter != "":
		e.models[o.Model] = slices.DeleteFunc(held, func(a string) bool { return a == o.Adapter })
		return galenastair.OrderDone
	case o.Kind == galenastair.LoadModel:
		e.models[o.Model] = nil
	default:
		delete(e.models, o.Model)
	}
	e.check()
	return galenastair.OrderAccepted
}

func (e *fakeEngine) check() {
	adapters := 0
	for _, a := range e.models {
		adapters += len(a)
	}
	if len(e.models) > maxModels || adapters > maxAdapters {
		e.violation = fmt.Sprintf("%s holds %v", e.id, e.models)
	}
}

func (e *fakeEngine) listModels() []galenastair.LoadedModel {
	var out []galenastair.LoadedModel
	for name, adapters := range e.models {
		out = append(out, galenastair.LoadedModel{Name: name, Adapters: slices.Clone(adapters)})
	}
	return out
}

func (e *fakeEngine) registration() pool.Server {
	e.heartbeat++
	return pool.Server{ID: e.id, Service: "writer", Address: string(e.id), Slots: 64, Incarnation: e.incarnation, Heartbeat: e.heartbeat, Models: e.listModels()}
}

// fakeFleet simulates engines whose answers are lost, whose unanswered orders take effect late and
// whose registrations arrive late.
type fakeFleet struct {
	clock *fakeClock

	// mu guards the fields below, as orders to several engines run concurrently.
	mu            sync.Mutex
	rng           *rand.Rand
	fakes         map[string]*fakeEngine
	lossRate      float64
	registrations []delayedRegistration
}

type delayedRegistration struct {
	at     time.Time
	server pool.Server
}

func (f *fakeFleet) SendOrder(_ context.Context, address string, o galenastair.EngineOrder) (galenastair.OrderResult, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.fakes[address]
	switch lost := f.rng.Float64(); {
	case lost < f.lossRate/2:
		e.delayedOrders = append(e.delayedOrders, delayedOrder{f.clock.now.Add(2*time.Second + time.Duration(f.rng.IntN(10))*time.Second), o})
		return 0, errLost
	case lost < f.lossRate:
		e.apply(o)
		return 0, errLost
	}
	return e.apply(o), nil
}

func (f *fakeFleet) State(_ context.Context, address string, _ galenastair.BackendServerID) (galenastair.EngineState, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.rng.Float64() < f.lossRate/2 {
		return galenastair.EngineState{}, errLost
	}
	e := f.fakes[address]
	return galenastair.EngineState{Sequence: e.sequence, Models: e.listModels()}, nil
}

// applyDelayedOrders executes the delayed orders that are due.
func (f *fakeFleet) applyDelayedOrders() {
	for _, e := range f.fakes {
		rest := e.delayedOrders[:0]
		for _, l := range e.delayedOrders {
			if l.at.After(f.clock.now) {
				rest = append(rest, l)
				continue
			}
			e.apply(l.order)
		}
		e.delayedOrders = rest
	}
}

// harness runs a planner against a fakeFleet, one step at a time.
type harness struct {
	t       *testing.T
	fleet   *fakeFleet
	lease   *fakeLease
	planner *Planner
	loop    *control.Loop
	// leaving are the engines that have announced when they end.
	leaving map[galenastair.BackendServerID]time.Time
}

func newHarness(t *testing.T, seed uint64, engines int, opts ...Option) *harness {
	t.Helper()
	c := &fakeClock{now: time.Unix(1000, 0)}
	f := &fakeFleet{clock: c, rng: rand.New(rand.NewPCG(seed, 7)), fakes: map[string]*fakeEngine{}}
	h := &harness{t: t, fleet: f, lease: &fakeLease{holds: true, fence: 1}, loop: control.NewLoop()}
	h.planner = New("me", quota.Tolerance{Window: time.Second}, f, h.lease, h.loop, append(opts, WithClock(c))...)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- h.loop.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	var models []catalog.Model
	for i := range engines*maxModels - 2 {
		models = append(models, catalog.Model{Name: galenastair.ModelName(fmt.Sprintf("m%d", i)), Memory: 70 * gigabyte,
			LoadTime: time.Second, AdapterCount: i % 4, AdapterMemory: gigabyte / 20})
	}
	is := is.New(t)
	is.NoErr(h.planner.SetCatalog(t.Context(), catalog.New(1, catalog.Limits{}, nil, []*catalog.Service{{Name: "writer", Engine: &catalog.Engine{
		Slots: 64, Memory: 230 * gigabyte, AdapterSlots: maxAdapters, LoadsPerSecond: 3, Models: models,
	}}}, nil)))
	for i := range engines {
		id := fmt.Sprintf("e%d", i)
		e := &fakeEngine{id: galenastair.BackendServerID(id), incarnation: 1, models: map[galenastair.ModelName][]string{}}
		for k := range maxModels {
			if n := i*maxModels + k; n < len(models) {
				e.models[models[n].Name] = nil
			}
		}
		f.fakes[id] = e
		is.NoErr(h.planner.SetServer(t.Context(), e.registration()))
	}
	return h
}

// step advances the clock and runs the planner once.
func (h *harness) step(d time.Duration) {
	h.t.Helper()
	// functions that are already posted must not read the clock while it is advanced
	h.do(func() {})
	h.fleet.clock.now = h.fleet.clock.now.Add(d)
	h.fleet.applyDelayedOrders()
	rest := h.fleet.registrations[:0]
	for _, r := range h.fleet.registrations {
		if r.at.After(h.fleet.clock.now) {
			rest = append(rest, r)
			continue
		}
		if err := h.planner.SetServer(h.t.Context(), r.server); err != nil {
			h.t.Fatal(err)
		}
	}
	h.fleet.registrations = rest
	h.do(h.planner.tick)
	h.settle()
}

// settle waits until all orders of a step have been answered.
func (h *harness) settle() {
	for busy := true; busy; {
		busy = false
		h.do(func() {
			for _, s := range h.planner.services {
				for _, e := range s.engines {
					busy = busy || e.orderInFlight
				}
			}
		})
	}
}

func (h *harness) do(f func()) {
	h.t.Helper()
	if err := h.loop.Do(h.t.Context(), f); err != nil {
		h.t.Fatal(err)
	}
}

// tokens returns the time in which a simulated engine processes n prompt tokens.
func tokens(n int) time.Duration { return time.Duration(n) * time.Second / 20400 }

func (h *harness) reportDemand(demands map[galenastair.ModelName]time.Duration) {
	h.t.Helper()
	if _, err := h.planner.Exchange(h.t.Context(), Report{Instance: "i", Demands: demands}); err != nil && !errors.Is(err, ErrNotLeader) {
		h.t.Fatal(err)
	}
}
