package place

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"galenastair"
)

// fleet simulates engines that take time to carry out steps.
type fleet struct {
	now        time.Time
	total      galenastair.Bytes
	servers    []Server
	catalogue  []galenastair.ModelWeights
	work       map[galenastair.ModelName]float64
	inProgress []stepInProgress
	steps      []Step
}

type stepInProgress struct {
	endsAt time.Time
	Step
}

func newFleet(servers, models, adapters int, total galenastair.Bytes) *fleet {
	f := &fleet{now: time.Unix(1000, 0), total: total, work: map[galenastair.ModelName]float64{}}
	for i := range servers {
		f.servers = append(f.servers, Server{
			ID: galenastair.BackendServerID(fmt.Sprintf("e%02d", i)), AvailabilityZone: galenastair.AvailabilityZone(fmt.Sprint(i % 3)), FreeMemory: total,
		})
	}
	for i := range models {
		name := galenastair.ModelName(fmt.Sprint("m", i))
		f.catalogue = append(f.catalogue, galenastair.ModelWeights{Name: name, Memory: galenastair.Bytes(10 + i%7)})
		for j := range adapters {
			f.catalogue = append(f.catalogue, galenastair.ModelWeights{Name: galenastair.ModelName(fmt.Sprint("m", i, "-a", j)), Base: name, Memory: 1})
		}
	}
	return f
}

// runRound advances the clock by elapsed, ends the steps that are due and plans one round.
func (f *fleet) runRound(p *Planner, elapsed time.Duration) {
	f.now = f.now.Add(elapsed)
	rest := f.inProgress[:0]
	for _, d := range f.inProgress {
		if d.endsAt.After(f.now) {
			rest = append(rest, d)
			continue
		}
		f.finishStep(d.Step)
	}
	f.inProgress = rest
	in := Input{Now: f.now, Servers: f.servers, Catalogue: f.catalogue, Work: func(m galenastair.ModelName) float64 { return f.work[m] }}
	for _, s := range p.Plan(in) {
		f.startStep(s)
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

func (f *fleet) startStep(s Step) {
	f.steps = append(f.steps, s)
	duration := 2 * time.Second
	if s.Weight.Base != "" {
		duration = 50 * time.Millisecond
	}
	f.inProgress = append(f.inProgress, stepInProgress{f.now.Add(duration), s})
	sv := f.server(s.Server)
	if s.Kind == galenastair.LoadModel {
		sv.FreeMemory -= s.Weight.Memory
		sv.Copies = append(sv.Copies, Copy{s.Weight, Loading})
		return
	}
	for i := range sv.Copies {
		if sv.Copies[i].Weight == s.Weight {
			sv.Copies[i].State = Unloading
		}
	}
}

func (f *fleet) finishStep(s Step) {
	sv := f.server(s.Server)
	if sv == nil {
		return
	}
	kept := sv.Copies[:0]
	for _, c := range sv.Copies {
		if c.Weight == s.Weight && s.Kind == galenastair.UnloadModel {
			sv.FreeMemory += c.Weight.Memory
			continue
		}
		if c.Weight == s.Weight {
			c.State = Ready
		}
		kept = append(kept, c)
	}
	sv.Copies = kept
}

// unreachable lists the models and adapters without a ready copy on an engine that stays.
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

// An empty fleet loads 20 models and 40 adapters from a weight store that starts one load per
// second and serves two at once. All are ready within 30 s without exceeding these limits.
func TestColdStartIsQuickAndPaced(t *testing.T) {
	is := is.New(t)
	f := newFleet(9, 20, 2, 60)
	p := NewPlanner(DefaultSettings())
	start := f.now
	for len(f.unreachable()) > 0 {
		f.runRound(p, 250*time.Millisecond)
		is.True(f.now.Sub(start) < 30*time.Second)
		models, adapters := 0, 0
		for _, d := range f.inProgress {
			if d.Weight.Base == "" {
				models++
			} else {
				adapters++
			}
		}
		is.True(models <= 2)
		is.True(adapters <= 15)
	}
	t.Logf("cold start took %v", f.now.Sub(start))
}

// When a backend server leaves, the models that only it has are loaded elsewhere, in place of
// second copies if there is no other room. The test fails without startCheapestSwap.
func TestModelsOfALeavingBackendServerMove(t *testing.T) {
	is := is.New(t)
	f := newFleet(9, 20, 2, 45)
	p := NewPlanner(DefaultSettings())
	for range 600 {
		f.runRound(p, 250*time.Millisecond)
	}
	is.Equal(len(f.unreachable()), 0)
	f.servers[0].Leaving = true
	lost := len(f.unreachable())
	for range 80 {
		f.runRound(p, 250*time.Millisecond)
	}
	t.Logf("%d unreachable at first", lost)
	is.Equal(len(f.unreachable()), 0)
}

// Demand that keeps shifting between models moves copies each time. MinCopyLifetime, MoveCooldown
// and MinGain must at least halve the number of steps.
func TestHysteresisHalvesTheMoves(t *testing.T) {
	is := is.New(t)
	moves := func(s Settings) int {
		f := newFleet(9, 20, 0, 45)
		p := NewPlanner(s)
		for range 400 {
			f.runRound(p, 250*time.Millisecond)
		}
		before := len(f.steps)
		for i := range 4800 {
			if i%120 == 0 {
				clear(f.work)
				f.work[galenastair.ModelName(fmt.Sprint("m", i/120%6))] = 3000
			}
			f.runRound(p, 250*time.Millisecond)
		}
		return len(f.steps) - before
	}
	with := moves(DefaultSettings())
	eager := DefaultSettings()
	eager.MinCopyLifetime, eager.MoveCooldown, eager.MinGain, eager.RebalanceThreshold = 0, 0, 0.01, 0
	without := moves(eager)
	t.Logf("%d steps with hysteresis, %d without", with, without)
	is.True(2*with <= without)
}

// For any demand and any backend servers that leave or return, memory is never overcommitted, no
// unload makes a model unreachable, and the limits of the weight store hold. The test fails if
// readyElsewhere or canLoad is always true, or if serverWithRoom ignores FreeMemory.
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
			f.runRound(p, 500*time.Millisecond)
			if after := f.unreachable(); len(after) > len(before) {
				t.Fatalf("unloading made %v unreachable, before it was %v: %v", after, before, f.steps[done:])
			}
			models := 0
			for _, s := range f.servers {
				if s.FreeMemory < 0 {
					t.Fatalf("%s: memory overcommitted: %d free", s.ID, s.FreeMemory)
				}
				for _, c := range s.Copies {
					if c.State == Loading && c.Weight.Base == "" {
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

// More concurrent adapter loads than AdaptersInFlight would slow all of them down. The test fails
// if the loads in flight are not counted.
func TestAdaptersInFlightAreBounded(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, 1, 40, 60)
	f.servers[0].Copies = []Copy{{f.catalogue[0], Ready}}
	f.servers[0].FreeMemory -= f.catalogue[0].Memory
	p := NewPlanner(DefaultSettings())
	f.runRound(p, time.Millisecond)
	is.Equal(len(f.steps), DefaultSettings().AdaptersInFlight)
}

// While a swap unloads one of two copies, the backend server with the other one fails. The
// remaining copies must stay. The test fails without the check of readyElsewhere in advanceSwap.
func TestSwapChecksAgainBeforeEachUnload(t *testing.T) {
	is := is.New(t)
	f := newFleet(3, 3, 1, 30)
	p := NewPlanner(DefaultSettings())
	for _, s := range []int{0, 1} {
		for _, w := range f.catalogue[:4] { // m0, m1 and their adapters, twice
			f.servers[s].Copies = append(f.servers[s].Copies, Copy{w, Ready})
			f.servers[s].FreeMemory -= w.Memory
		}
	}
	f.servers[2].Leaving = true // so that m2 needs a swap
	f.runRound(p, time.Second)
	is.Equal(len(p.swaps), 1)
	for id := range p.swaps {
		for i := range f.servers {
			f.servers[i].Leaving = f.servers[i].ID != id
		}
	}
	before := len(f.steps)
	for range 5 {
		f.runRound(p, time.Second)
	}
	for _, s := range f.steps[before:] {
		is.True(s.Kind != galenastair.UnloadModel)
	}
}

// An adapter has lost its only copy, and its base is loaded only on a backend server that accepts
// no orders during a log outage. The adapter had no copy until the log was back.
func TestAdapterOfAnUnschedulableBackendServerIsLoadedElsewhere(t *testing.T) {
	is := is.New(t)
	f := newFleet(2, 1, 1, 30)
	f.servers[0].Unschedulable = true
	f.servers[0].Copies = []Copy{{f.catalogue[0], Ready}}
	f.servers[0].FreeMemory -= f.catalogue[0].Memory
	settings := DefaultSettings()
	settings.SpareCopies = false
	p := NewPlanner(settings)
	for range 40 {
		f.runRound(p, 250*time.Millisecond)
	}
	is.Equal(f.unreachable(), nil)
	for _, s := range f.steps {
		is.True(s.Server != f.servers[0].ID)
	}
}
