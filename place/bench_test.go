package place

import (
	"testing"
	"time"
)

// BenchmarkRound measures a planning round with all models loaded and some servers overloaded.
func BenchmarkRound(b *testing.B) {
	for _, s := range []struct {
		name                      string
		servers, models, adapters int
	}{{"today", 9, 20, 2}, {"region", 270, 250, 4}} {
		b.Run(s.name, func(b *testing.B) {
			f := newFleet(s.servers, s.models, s.adapters, 54)
			unlimited := DefaultSettings()
			unlimited.LoadsPerSecond, unlimited.LoadsInFlight, unlimited.AdaptersInFlight = 1000, 1000, 1000
			p := NewPlanner(unlimited)
			for range 100 {
				f.runRound(p, 3*time.Second)
			}
			for i, w := range f.catalogue {
				f.work[w.Name] = float64(i%50) * 40
			}
			b.ReportAllocs()
			for b.Loop() {
				f.runRound(p, time.Second)
			}
		})
	}
}
