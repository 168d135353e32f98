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

// clock is moved by the test.
type clock struct{ now time.Time }

func (c *clock) Now() time.Time { return c.now }

// holder is a lease that the test gives and takes.
type holder struct {
	holds bool
	fence galenastair.Fence
}

func (h *holder) Order() (galenastair.Fence, bool) { return h.fence, h.holds }
func (h *holder) Holds() bool                      { return h.holds }
func (h *holder) Hosts() bool                      { return h.holds }
func (h *holder) Refused(galenastair.Fence)        { h.holds = false }

// errLost says that an order got no answer.
var errLost = errors.New("no answer")

// late is an order that acts after its answer was lost.
type late struct {
	at    time.Time
	order galenastair.EngineOrder
}

// sim is a model engine as the planner's orders meet it.
type sim struct {
	id       galenastair.BackendServerID
	born     int64
	beat     int64
	sequence int64
	fence    galenastair.Fence
	models   map[galenastair.ModelName][]string
	lates    []late
	overfull string
}

const (
	simModels   = 3
	simAdapters = 2
)

// take carries an order out as an engine does: only at the sequence that it presumes.
func (s *sim) take(o galenastair.EngineOrder) galenastair.OrderAnswer {
	if o.Fence < s.fence {
		return galenastair.OrderFenced
	}
	s.fence = o.Fence
	if o.Sequence != s.sequence {
		return galenastair.OrderBusy
	}
	held, loaded := s.models[o.Model]
	has := loaded && (o.Adapter == "" || slices.Contains(held, o.Adapter))
	if has == (o.Kind == galenastair.LoadModel) {
		return galenastair.OrderHeld
	}
	if o.Adapter != "" && !loaded {
		return galenastair.OrderWrong
	}
	s.sequence++
	switch {
	case o.Adapter != "" && o.Kind == galenastair.LoadModel:
		s.models[o.Model] = append(held, o.Adapter)
	case o.Adapter != "":
		s.models[o.Model] = slices.DeleteFunc(held, func(a string) bool { return a == o.Adapter })
		return galenastair.OrderHeld
	case o.Kind == galenastair.LoadModel:
		s.models[o.Model] = nil
	default:
		delete(s.models, o.Model)
	}
	s.check()
	return galenastair.OrderAccepted
}

func (s *sim) check() {
	adapters := 0
	for _, a := range s.models {
		adapters += len(a)
	}
	if len(s.models) > simModels || adapters > simAdapters {
		s.overfull = fmt.Sprintf("%s holds %v", s.id, s.models)
	}
}

func (s *sim) list() []galenastair.EngineModel {
	var out []galenastair.EngineModel
	for name, adapters := range s.models {
		out = append(out, galenastair.EngineModel{Name: name, Adapters: slices.Clone(adapters)})
	}
	return out
}

func (s *sim) registration() pool.Server {
	s.beat++
	return pool.Server{ID: s.id, Service: "writer", Address: string(s.id), Slots: 64, Born: s.born, Beat: s.beat, Models: s.list()}
}

// world is engines whose answers are lost, whose orders act late and whose
// registrations come late.
type world struct {
	clock *clock

	// mu guards the rest: orders to several engines are under way together.
	mu      sync.Mutex
	rng     *rand.Rand
	sims    map[string]*sim
	lossy   float64
	reports []delayed
}

type delayed struct {
	at     time.Time
	server pool.Server
}

func (w *world) Order(_ context.Context, address string, o galenastair.EngineOrder) (galenastair.OrderAnswer, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.sims[address]
	switch lost := w.rng.Float64(); {
	case lost < w.lossy/2:
		s.lates = append(s.lates, late{w.clock.now.Add(2*time.Second + time.Duration(w.rng.IntN(10))*time.Second), o})
		return 0, errLost
	case lost < w.lossy:
		s.take(o)
		return 0, errLost
	}
	return s.take(o), nil
}

func (w *world) State(_ context.Context, address string, _ galenastair.BackendServerID) (galenastair.EngineState, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.rng.Float64() < w.lossy/2 {
		return galenastair.EngineState{}, errLost
	}
	s := w.sims[address]
	return galenastair.EngineState{Sequence: s.sequence, Models: s.list()}, nil
}

// act lets late orders act.
func (w *world) act() {
	for _, s := range w.sims {
		rest := s.lates[:0]
		for _, l := range s.lates {
			if l.at.After(w.clock.now) {
				rest = append(rest, l)
				continue
			}
			s.take(l.order)
		}
		s.lates = rest
	}
}

// bed is a planner over such a world, stepped by the test.
type bed struct {
	t       *testing.T
	world   *world
	lease   *holder
	planner *Planner
	loop    *control.Loop
}

func newBed(t *testing.T, seed uint64, engines int) *bed {
	t.Helper()
	c := &clock{now: time.Unix(1000, 0)}
	w := &world{clock: c, rng: rand.New(rand.NewPCG(seed, 7)), sims: map[string]*sim{}}
	b := &bed{t: t, world: w, lease: &holder{holds: true, fence: 1}, loop: control.NewLoop()}
	b.planner = New("me", quota.Terms{Window: time.Second}, w, b.lease, b.loop, WithClock(c))
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- b.loop.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	var models []catalog.Model
	for i := range engines*simModels - 2 {
		models = append(models, catalog.Model{Name: galenastair.ModelName(fmt.Sprintf("m%d", i)), Memory: 70 * gigabyte,
			Load: time.Second, Adapters: i % 4, AdapterMemory: gigabyte / 20})
	}
	is := is.New(t)
	is.NoErr(b.planner.SetCatalog(t.Context(), catalog.New(1, catalog.Limits{}, nil, []*catalog.Service{{Name: "writer", Engine: &catalog.Engine{
		Slots: 64, Memory: 230 * gigabyte, AdapterPlaces: simAdapters, LoadsPerSecond: 3, Models: models,
	}}}, nil)))
	for i := range engines {
		id := fmt.Sprintf("e%d", i)
		s := &sim{id: galenastair.BackendServerID(id), born: 1, models: map[galenastair.ModelName][]string{}}
		for k := range simModels {
			if n := i*simModels + k; n < len(models) {
				s.models[models[n].Name] = nil
			}
		}
		w.sims[id] = s
		is.NoErr(b.planner.SetServer(t.Context(), s.registration()))
	}
	return b
}

// step moves the clock and runs the planner once.
func (b *bed) step(d time.Duration) {
	b.t.Helper()
	// nothing that was posted may read the clock while it is moved
	b.do(func() {})
	b.world.clock.now = b.world.clock.now.Add(d)
	b.world.act()
	rest := b.world.reports[:0]
	for _, r := range b.world.reports {
		if r.at.After(b.world.clock.now) {
			rest = append(rest, r)
			continue
		}
		if err := b.planner.SetServer(b.t.Context(), r.server); err != nil {
			b.t.Fatal(err)
		}
	}
	b.world.reports = rest
	b.do(b.planner.tick)
	b.settle()
}

// settle waits until the orders of a step have been answered.
func (b *bed) settle() {
	for busy := true; busy; {
		busy = false
		b.do(func() {
			for _, s := range b.planner.sites {
				for _, e := range s.engines {
					busy = busy || e.running
				}
			}
		})
	}
}

func (b *bed) do(f func()) {
	b.t.Helper()
	if err := b.loop.Do(b.t.Context(), f); err != nil {
		b.t.Fatal(err)
	}
}

// tokens is the time in which an engine of the test reads as many.
func tokens(n int) time.Duration { return time.Duration(n) * time.Second / 20400 }

func (b *bed) ask(demands map[galenastair.ModelName]time.Duration) {
	b.t.Helper()
	if _, err := b.planner.Exchange(b.t.Context(), Report{Instance: "i", Demands: demands}); err != nil && !errors.Is(err, ErrNotPlanner) {
		b.t.Fatal(err)
	}
}
