package place

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"galenastair"
)

// fleet carries out steps after a delay, as engines would.
type fleet struct {
	now       time.Time
	total     galenastair.Bytes
	servers   []Server
	catalogue []galenastair.Weight
	work      map[galenastair.ModelName]float64
	due       []dueStep
	steps     []Step
}

type dueStep struct {
	at time.Time
	Step
}

func newFleet(servers, models, adapters int, total galenastair.Bytes) *fleet {
	f := &fleet{now: time.Unix(1000, 0), total: total, work: map[galenastair.ModelName]float64{}}
	for i := range servers {
		f.servers = append(f.servers, Server{
			ID: galenastair.BackendServerID(fmt.Sprintf("e%02d", i)), AvailabilityZone: galenastair.AvailabilityZone(fmt.Sprint(i % 3)), Free: total,
		})
	}
	for i := range models {
		name := galenastair.ModelName(fmt.Sprint("m", i))
		f.catalogue = append(f.catalogue, galenastair.Weight{Name: name, Memory: galenastair.Bytes(10 + i%7)})
		for j := range adapters {
			f.catalogue = append(f.catalogue, galenastair.Weight{Name: galenastair.ModelName(fmt.Sprint("m", i, "-a", j)), Base: name, Memory: 1})
		}
	}
	return f
}

func (f *fleet) round(p *Planner, pass time.Duration) {
	f.now = f.now.Add(pass)
	rest := f.due[:0]
	for _, d := range f.due {
		if d.at.After(f.now) {
			rest = append(rest, d)
			continue
		}
		f.finish(d.Step)
	}
	f.due = rest
	in := Input{Now: f.now, Servers: f.servers, Catalogue: f.catalogue, Work: func(m galenastair.ModelName) float64 { return f.work[m] }}
	for _, s := range p.Plan(in) {
		f.begin(s)
	}
}

func (f *fleet) server(id galenastair.BackendServerID) *Server {
	for i := range f.servers {
		if f.servers[i].ID == id {
			return &f.servers[i]
		}
	}
	return nil
}

func (f *fleet) begin(s Step) {
	f.steps = append(f.steps, s)
	took := 2 * time.Second
	if s.Weight.Base != "" {
		took = 50 * time.Millisecond
	}
	f.due = append(f.due, dueStep{f.now.Add(took), s})
	sv := f.server(s.Server)
	if s.Kind == galenastair.LoadModel {
		sv.Free -= s.Weight.Memory
		sv.Copies = append(sv.Copies, Copy{s.Weight, Coming})
		return
	}
	for i := range sv.Copies {
		if sv.Copies[i].Weight == s.Weight {
			sv.Copies[i].State = Going
		}
	}
}

func (f *fleet) finish(s Step) {
	sv := f.server(s.Server)
	if sv == nil {
		return
	}
	kept := sv.Copies[:0]
	for _, c := range sv.Copies {
		if c.Weight == s.Weight && s.Kind == galenastair.UnloadModel {
			sv.Free += c.Weight.Memory
			continue
		}
		if c.Weight == s.Weight {
			c.State = Ready
		}
		kept = append(kept, c)
	}
	sv.Copies = kept
}

// unreachable lists the models and adapters without a ready copy that may get work.
func (f *fleet) unreachable() []galenastair.ModelName {
	ready := map[galenastair.ModelName]bool{}
	for _, s := range f.servers {
		for _, c := range s.Copies {
			if c.State == Ready && !s.Leaving {
				ready[c.Weight.Name] = true
			}
		}
	}
	var out []galenastair.ModelName
	for _, w := range f.catalogue {
		if !ready[w.Name] {
			out = append(out, w.Name)
		}
	}
	return out
}

// Both sites start with nothing loaded: 20 models and 40 adapters behind a weight
// store of one load a second, two at once. All answer after some twenty seconds, and
// the store is never asked for more than it stands.
func TestColdStartIsQuickAndPaced(t *testing.T) {
	is := is.New(t)
	f := newFleet(9, 20, 2, 60)
	p := NewPlanner(DefaultSettings())
	begun := f.now
	for len(f.unreachable()) > 0 {
		f.round(p, 250*time.Millisecond)
		is.True(f.now.Sub(begun) < 30*time.Second)
		models, adapters := 0, 0
		for _, d := range f.due {
			if d.Weight.Base == "" {
				models++
			} else {
				adapters++
			}
		}
		is.True(models <= 2)
		is.True(adapters <= 15)
	}
	t.Logf("cold start took %v", f.now.Sub(begun))
}

// The only backend server of some models leaves: they are loaded elsewhere, in place
// of second copies if there is no other room. Seen failing with swapFor switched off.
func TestModelsOfALeavingBackendServerMove(t *testing.T) {
	is := is.New(t)
	f := newFleet(9, 20, 2, 45)
	p := NewPlanner(DefaultSettings())
	for range 600 {
		f.round(p, 250*time.Millisecond)
	}
	is.Equal(len(f.unreachable()), 0)
	f.servers[0].Leaving = true
	lost := len(f.unreachable())
	for range 80 {
		f.round(p, 250*time.Millisecond)
	}
	t.Logf("%d unreachable at first", lost)
	is.Equal(len(f.unreachable()), 0)
}

// Demand that goes to and fro between two models moves copies each time without
// hysteresis; with it, at most half as often. Seen failing with Stay, Calm and Gain zero.
func TestHysteresisHalvesTheMoves(t *testing.T) {
	is := is.New(t)
	moves := func(s Settings) int {
		f := newFleet(9, 20, 0, 45)
		p := NewPlanner(s)
		for range 400 {
			f.round(p, 250*time.Millisecond)
		}
		before := len(f.steps)
		for i := range 4800 {
			if i%120 == 0 {
				clear(f.work)
				f.work[galenastair.ModelName(fmt.Sprint("m", i/120%6))] = 3000
			}
			f.round(p, 250*time.Millisecond)
		}
		return len(f.steps) - before
	}
	with := moves(DefaultSettings())
	eager := DefaultSettings()
	eager.Stay, eager.Calm, eager.Gain, eager.Busy = 0, 0, 0.01, 0
	without := moves(eager)
	t.Logf("%d steps with hysteresis, %d without", with, without)
	is.True(2*with <= without)
}

// Whatever the demand does and whichever backend servers leave or come back, memory
// is never overcommitted, no reachable model is made unreachable by an unload, and
// the weight store's limits hold. Seen failing with readyBeside always true, with
// roomFor not looking at Free, and with mayLoad always true.
func TestPlansAreSafe(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.IntRange(2, 8).Draw(t, "servers"), rapid.IntRange(2, 16).Draw(t, "models"), rapid.IntRange(0, 2).Draw(t, "adapters"), 50)
		p := NewPlanner(DefaultSettings())
		for range rapid.IntRange(10, 150).Draw(t, "rounds") {
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0:
				s := &f.servers[rapid.IntRange(0, len(f.servers)-1).Draw(t, "server")]
				s.Leaving = !s.Leaving
			case 1, 2, 3:
				m := f.catalogue[rapid.IntRange(0, len(f.catalogue)-1).Draw(t, "model")]
				f.work[m.Name] = rapid.Float64Range(0, 4000).Draw(t, "work")
			}
			before := f.unreachable()
			done := len(f.steps)
			f.round(p, 500*time.Millisecond)
			if after := f.unreachable(); len(after) > len(before) {
				t.Fatalf("unloading made %v unreachable, not only %v: %v", after, before, f.steps[done:])
			}
			models := 0
			for _, s := range f.servers {
				if s.Free < 0 {
					t.Fatalf("%s has %d free", s.ID, s.Free)
				}
				for _, c := range s.Copies {
					if c.State == Coming && c.Weight.Base == "" {
						models++
					}
				}
			}
			if models > 2 {
				t.Fatalf("%d loads in flight", models)
			}
		}
	})
}

// The weight store serves some adapters at full speed together; beyond, all get slower.
// Seen failing with the adapters in flight not counted.
func TestAdaptersInFlightAreBounded(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, 1, 40, 60)
	f.servers[0].Copies = []Copy{{f.catalogue[0], Ready}}
	f.servers[0].Free -= f.catalogue[0].Memory
	p := NewPlanner(DefaultSettings())
	f.round(p, time.Millisecond)
	is.Equal(len(f.steps), DefaultSettings().AdaptersInFlight)
}

// While a swap makes room by unloading one of two copies, the backend server with the
// other one dies: what is left must stay. Seen failing without the second look at
// readyBeside in advance.
func TestSwapLooksAgainBeforeEachUnload(t *testing.T) {
	is := is.New(t)
	f := newFleet(3, 3, 1, 30)
	p := NewPlanner(DefaultSettings())
	for _, s := range []int{0, 1} {
		for _, w := range f.catalogue[:4] { // m0, m1 and their adapters, twice
			f.servers[s].Copies = append(f.servers[s].Copies, Copy{w, Ready})
			f.servers[s].Free -= w.Memory
		}
	}
	f.servers[2].Leaving = true // so m2 needs the room of a copy
	f.round(p, time.Second)
	is.Equal(len(p.swaps), 1)
	for id := range p.swaps {
		for i := range f.servers {
			f.servers[i].Leaving = f.servers[i].ID != id
		}
	}
	before := len(f.steps)
	for range 5 {
		f.round(p, time.Second)
	}
	for _, s := range f.steps[before:] {
		is.True(s.Kind != galenastair.UnloadModel)
	}
}

// An adapter has lost its only copy, and its base stands only on a backend server that takes no
// orders in an outage of the log: nothing was loaded until the log was back.
func TestAdapterOfAClosedBackendServerIsLoadedElsewhere(t *testing.T) {
	is := is.New(t)
	f := newFleet(2, 1, 1, 30)
	f.servers[0].Closed = true
	f.servers[0].Copies = []Copy{{f.catalogue[0], Ready}}
	f.servers[0].Free -= f.catalogue[0].Memory
	settings := DefaultSettings()
	settings.Spares = false
	p := NewPlanner(settings)
	for range 40 {
		f.round(p, 250*time.Millisecond)
	}
	is.Equal(f.unreachable(), nil)
	for _, s := range f.steps {
		is.True(s.Server != f.servers[0].ID)
	}
}
