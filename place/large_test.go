package place

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"galenastair"
)

// BenchmarkPlanLargeFleet measures a round for 240 engines with room for three models each and 524
// models, a few of which get most of the demand.
func BenchmarkPlanLargeFleet(b *testing.B) {
	const servers, models = 240, 524
	rng := rand.New(rand.NewPCG(1, 1))
	in := Input{Now: time.Unix(1000, 0)}
	work := map[galenastair.ModelName]float64{}
	for i := range models {
		w := galenastair.ModelWeights{Name: galenastair.ModelName(fmt.Sprint("m", i)), Memory: 10}
		in.Catalogue = append(in.Catalogue, w)
		work[w.Name] = 40 / float64(i+1)
	}
	in.Work = func(m galenastair.ModelName) float64 { return work[m] }
	order := rng.Perm(models)
	for i := range servers {
		s := Server{ID: galenastair.BackendServerID(fmt.Sprint("s", i)), FreeMemory: 30, CachedModels: map[galenastair.ModelName]bool{}}
		for p := range 3 {
			w := in.Catalogue[order[(3*i+p)%models]]
			s.Copies = append(s.Copies, Copy{w, Ready})
			s.FreeMemory -= w.Memory
			s.CachedModels[w.Name] = true
		}
		in.Servers = append(in.Servers, s)
	}
	settings := Settings{LoadsPerSecond: 34, LoadsInFlight: 80, ServerCapacity: 1, RebalanceThreshold: 0.3, ImbalanceThreshold: 0.8, MinGain: 0.12, MoveCooldown: time.Second,
		MinCopyLifetime: 5 * time.Second, MovesPerRound: 3, MinDemand: 0.01, IdleEvictionThreshold: 1.2}
	p := NewPlanner(settings)
	for b.Loop() {
		in.Now = in.Now.Add(200 * time.Millisecond)
		p.Plan(in)
	}
}
