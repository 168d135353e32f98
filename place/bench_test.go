package place

import (
	"testing"
	"time"
)

// BenchmarkRound is one round of the planner with everything loaded and hot spots to relieve.
func BenchmarkRound(b *testing.B) {
	for _, s := range []struct {
		name                      string
		servers, models, adapters int
	}{{"today", 9, 20, 2}, {"region", 270, 250, 4}} {
		b.Run(s.name, func(b *testing.B) {
			f := newFleet(s.servers, s.models, s.adapters, 54)
			fast := DefaultSettings()
			fast.LoadsPerSecond, fast.LoadsInFlight, fast.AdaptersInFlight = 1000, 1000, 1000
			p := NewPlanner(fast)
			for range 100 {
				f.round(p, 3*time.Second)
			}
			for i, w := range f.catalogue {
				f.work[w.Name] = float64(i%50) * 40
			}
			b.ReportAllocs()
			for b.Loop() {
				f.round(p, time.Second)
			}
		})
	}
}
