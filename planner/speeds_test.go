package planner

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"galenastair"
	"galenastair/speed"
)

// reportSpeeds reports one observation of each engine, of which e3 is 1.7 times as slow as the others.
func (h *harness) reportSpeeds(seen speed.Sequence) speed.Update {
	h.t.Helper()
	r := Report{Instance: "i", LastSpeed: seen}
	for id, f := range h.fleet.fakes {
		o := speed.Observation{Server: speed.KeyOf(f.id, f.incarnation), Ratio: 1}
		if id == "e3" {
			o.Ratio = 1.7
		}
		r.SpeedObservations = append(r.SpeedObservations, o)
	}
	update, err := h.planner.Exchange(h.t.Context(), r)
	if err != nil {
		h.t.Fatal(err)
	}
	return update.Speeds
}

// speedFactors returns the speed factors that placement counts with, by engine, if they are not 1.
func (h *harness) speedFactors() map[galenastair.BackendServerID]float64 {
	out := map[galenastair.BackendServerID]float64{}
	h.do(func() {
		s := h.planner.services["writer"]
		for id, e := range s.engines {
			if f := s.input(id, e).SpeedFactor; f != 0 {
				out[id] = f
			}
		}
	})
	return out
}

// Guards against a slow engine that placement counts as equal, and instances that do not learn of it.
func TestSlowEngineIsKnownToPlacementAndInstances(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 1, 8, WithServerSpeeds(func() []speed.Factor { return nil }))
	table := speed.NewTable()
	seen := speed.Sequence(0)
	for range 20 {
		h.step(500 * time.Millisecond)
		u := h.reportSpeeds(seen)
		table.Apply(u)
		seen = u.Newest
	}
	factors := h.speedFactors()
	is.Equal(len(factors), 1)
	is.True(factors["e3"] > 1.5 && factors["e3"] < 1.9)
	is.Equal(float64(table.Factor(speed.KeyOf("e3", 1))), factors["e3"])
	is.Equal(table.Len(), 1)
	is.Equal(len(h.reportSpeeds(seen).Factors), 0) // the instance has them all
	is.Equal(len(h.reportSpeeds(0).Factors), 8)    // an instance that has just started gets all

	e := h.fleet.fakes["e3"]
	e.incarnation, e.models = 2, map[galenastair.ModelName][]string{}
	is.NoErr(h.planner.SetServer(t.Context(), e.registration()))
	is.Equal(len(h.speedFactors()), 0)          // the factor must not apply to the next process
	is.Equal(len(h.reportSpeeds(0).Factors), 7) // nor be sent to instances any more
}

// Guards against a new leader that counts all engines as equal until it has observed them, and that
// takes what it estimated in an earlier term for current.
func TestNewTermBeginsWithTheReceivedFactors(t *testing.T) {
	is := is.New(t)
	received := speed.NewTable()
	h := newHarness(t, 1, 8, WithServerSpeeds(func() []speed.Factor { return received.Factors() }))
	for range 20 {
		h.step(500 * time.Millisecond)
		h.reportSpeeds(0)
	}
	h.lease.holds = false
	h.step(time.Second)
	received.Apply(speed.Update{Factors: []speed.Factor{{Server: speed.KeyOf("e5", 1), Ratio: 1.7}}})
	h.lease.holds = true
	h.step(time.Second)
	factors := h.speedFactors()
	is.Equal(len(factors), 1)
	is.True(factors["e5"] > 1.5 && factors["e5"] < 1.9)
}

// Guards against a planner that estimates speeds although the setting is off.
func TestNoSpeedsWithoutTheSetting(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 1, 8)
	for range 20 {
		h.step(500 * time.Millisecond)
		is.Equal(h.reportSpeeds(0), speed.Update{})
	}
	is.Equal(len(h.speedFactors()), 0)
}
