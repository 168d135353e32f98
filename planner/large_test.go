package planner

import (
	"fmt"
	"testing"
	"time"

	"galenastair"
	"galenastair/catalog"
	"galenastair/pool"
)

// BenchmarkRound measures one round for 240 engines with room for three models each, 524 models
// and 1,048 adapters.
func BenchmarkRound(b *testing.B) {
	const engines, models = 240, 524
	e := &catalog.Engine{LoadsPerSecond: 34, AdapterSlots: 8, Memory: 230}
	for i := range models {
		e.Models = append(e.Models, catalog.Model{Name: galenastair.ModelName(fmt.Sprint("m", i)), Memory: 70, LoadTime: 2 * time.Second, AdapterCount: 2, AdapterMemory: 1})
	}
	s := newService(&catalog.Service{Name: "writer", Engine: e})
	now := time.Unix(1000, 0)
	for i := range engines {
		srv := pool.Server{ID: galenastair.BackendServerID(fmt.Sprint("e", i)), Service: "writer", Slots: 64, Incarnation: 1, Heartbeat: 1}
		for p := range 3 {
			srv.Models = append(srv.Models, galenastair.LoadedModel{Name: e.Models[(3*i+p)%models].Name, Adapters: []string{"a1", "a2"}})
		}
		s.setEngine(now, srv)
	}
	for b.Loop() {
		now = now.Add(200 * time.Millisecond)
		for i := range models {
			s.recordDemand(now, e.Models[i].Name, time.Duration(4000/(i+1))*time.Millisecond)
			s.recordDemand(now, e.Models[i].Name+"/a1", time.Millisecond)
		}
		s.forecast.EndPeriod(now)
		s.planRound(now)
	}
}
