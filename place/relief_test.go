package place

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"galenastair"
)

// hotFleet has as many models as given, one copy of each, all at hand everywhere. Only the
// first is asked for, more than two engines can do.
func hotFleet(servers, models int, total galenastair.Bytes) *fleet {
	f := newFleet(servers, models, 0, total)
	for i, w := range f.catalogue {
		f.catalogue[i].Memory = 10
		w.Memory = 10
		s := &f.servers[i%servers]
		s.Copies = append(s.Copies, Copy{w, Ready})
		s.Free -= w.Memory
	}
	for i := range f.servers {
		f.servers[i].AtHand = map[galenastair.ModelName]bool{}
		for _, w := range f.catalogue {
			f.servers[i].AtHand[w.Name] = true
		}
	}
	f.work["m0"] = 2000
	return f
}

var hotSettings = Settings{
	LoadsPerSecond: 1, LoadsInFlight: 2, ServerWork: 1000, Busy: 0.3, Gain: 0.1, AskedWork: 1, DropUnasked: 1.2, ReliefsARound: 3,
}

func dropsOnly(f *fleet) bool {
	for _, s := range f.steps {
		if s.Kind == galenastair.UnloadModel && s.Weight.Name != "m0" {
			return true
		}
	}
	return false
}

// The first caller of a rare model is refused and waits for seconds. All models fit with
// memory to spare, but each time that a model became busy an only copy made way for it,
// beside second copies that could as well have gone.
func TestOnlyCopiesStayWhereAllModelsFit(t *testing.T) {
	is := is.New(t)
	f := hotFleet(6, 12, 28)
	second := newFleet(2, 0, 0, 28)
	for i, s := range second.servers {
		s.ID, s.AtHand = galenastair.BackendServerID(fmt.Sprint("second", i)), f.servers[len(f.servers)-1].AtHand
		for _, w := range f.catalogue[1:3] {
			s.Copies = append(s.Copies, Copy{w, Ready})
			s.Free -= w.Memory
		}
		f.servers = append([]Server{s}, f.servers...)
	}
	p := NewPlanner(hotSettings)
	for range 20 {
		f.round(p, time.Second)
		is.Equal(fmt.Sprint(f.unreachable()), "[]")
	}
	is.True(len(f.steps) > 0) // the busy model got copies in place of second ones
}

// A third of the engines is gone and each place holds one model's only copy. The callers
// of the busy one would all wait at one engine; what nobody asks for goes.
func TestOnlyCopiesMakeWayWhereMemoryIsScarce(t *testing.T) {
	is := is.New(t)
	f := hotFleet(6, 18, 30)
	p := NewPlanner(hotSettings)
	for range 20 {
		f.round(p, time.Second)
	}
	is.True(dropsOnly(f))
}

// All engines are busy, and alike. Copies moved between them all day: each cost a load and
// what its engine had kept of prompts, and no caller waited less.
func TestEvenLoadMovesNothing(t *testing.T) {
	is := is.New(t)
	f := newFleet(6, 6, 0, 30)
	for i, w := range f.catalogue {
		f.servers[i].Copies = append(f.servers[i].Copies, Copy{w, Ready})
		f.servers[i].Free -= w.Memory
		f.work[w.Name] = 800 + 100*float64(i)
	}
	settings := hotSettings
	settings.Uneven = 2
	p := NewPlanner(settings)
	for range 20 {
		f.round(p, time.Second)
	}
	is.Equal(fmt.Sprint(f.steps), "[]")
}

// A model becomes some tens of times as busy among a hundred engines, and gets one copy more
// each second, and no more than eight, while its callers wait at a few engines.
func TestManyCopiesForAModelOfManyCallers(t *testing.T) {
	is := is.New(t)
	f := hotFleet(120, 120, 30)
	f.work["m0"] = 20_000
	settings := hotSettings
	settings.LoadsPerSecond, settings.LoadsInFlight, settings.Calm = 30, 60, 1200*time.Millisecond
	p := NewPlanner(settings)
	for range 10 {
		f.round(p, time.Second)
	}
	copies := 0
	for _, s := range f.servers {
		for _, c := range s.Copies {
			if c.Weight.Name == "m0" {
				copies++
			}
		}
	}
	// each engine does a thousand
	is.True(copies >= 20)
}
