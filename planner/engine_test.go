package planner

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"galenastair"
	"galenastair/catalog"
	"galenastair/place"
	"galenastair/pool"
)

const gigabyte = 1_000_000_000

// testModels is the model set of a service whose engines have room for three models and two
// adapters.
func testModels() *modelSet {
	return newModelSet(&catalog.Service{Name: "writer", Engine: &catalog.Engine{
		Slots:          64,
		Memory:         230 * gigabyte,
		AdapterSlots:   2,
		LoadsPerSecond: 1,
		Models: []catalog.Model{
			{Name: "m1", Memory: 72 * gigabyte, LoadTime: 2 * time.Second, AdapterCount: 5, AdapterMemory: gigabyte / 20},
			{Name: "m2", Memory: 72 * gigabyte, LoadTime: 2 * time.Second},
			{Name: "m3", Memory: 72 * gigabyte, LoadTime: 2 * time.Second},
			{Name: "m4", Memory: 72 * gigabyte, LoadTime: 2 * time.Second},
		},
	}})
}

func testEngine(models ...galenastair.LoadedModel) *engine {
	return newEngine(pool.Server{ID: "e1", Service: "writer", Incarnation: 1, Heartbeat: 1, Models: models})
}

// A model's load is queued, and the engine's state is queried before it is sent. The state does
// not list the model yet. If its memory counted as free again, another load would be planned in
// its place, and the engine would run out of memory.
func TestQueuedLoadKeepsMemoryAfterStateQuery(t *testing.T) {
	is := is.New(t)
	models, now := testModels(), time.Now()
	e := testEngine(galenastair.LoadedModel{Name: "m1"}, galenastair.LoadedModel{Name: "m2"})
	e.enqueue(now, queuedOrder{kind: galenastair.LoadModel, model: "m3"})
	e.applyState(now, galenastair.EngineState{Sequence: 7, Models: []galenastair.LoadedModel{{Name: "m1"}, {Name: "m2"}}})
	is.Equal(e.models["m3"].state, place.Loading)
	is.True(e.freeMemory(models) < 72*gigabyte)
	e.enqueue(now, queuedOrder{kind: galenastair.LoadModel, model: "m4"})
	is.True(!e.hasRoom(models, e.queue[1]))
}

// An engine unloads an adapter only when the requests that use it have ended. If its slot counted
// as free at once, another adapter would be loaded beyond the number of slots.
func TestAdapterInUseKeepsItsSlot(t *testing.T) {
	is := is.New(t)
	models, now := testModels(), time.Now()
	e := testEngine(galenastair.LoadedModel{Name: "m1", Adapters: []string{"a1", "a2"}})
	unload := queuedOrder{kind: galenastair.UnloadModel, model: "m1", adapter: "a1"}
	e.enqueue(now, unload)
	e.accepted(now, unload)
	load := queuedOrder{kind: galenastair.LoadModel, model: "m1", adapter: "a3"}
	e.queue = nil
	e.enqueue(now, load)
	is.True(!e.hasRoom(models, load))
	state := galenastair.EngineState{Sequence: 1, Models: []galenastair.LoadedModel{{Name: "m1", Adapters: []string{"a2"}}}}
	// the engine no longer lists the adapter, but still runs requests that use it
	e.applyState(now.Add(time.Second), state)
	is.True(!e.hasRoom(models, load))
	e.applyState(now.Add(maxAdapterUse), state)
	is.True(e.hasRoom(models, load))
}

// A registration that was written before a load arrives after it. If it removed the load, the same
// memory would be allocated twice.
func TestLateRegistrationKeepsOrderedLoad(t *testing.T) {
	is := is.New(t)
	models, now := testModels(), time.Now()
	e := testEngine(galenastair.LoadedModel{Name: "m1"}, galenastair.LoadedModel{Name: "m2"})
	load := queuedOrder{kind: galenastair.LoadModel, model: "m3"}
	e.enqueue(now, load)
	e.accepted(now, load)
	e.queue = nil
	e.leading = true
	late := pool.Server{ID: "e1", Service: "writer", Incarnation: 1, Heartbeat: 2, Models: []galenastair.LoadedModel{{Name: "m1"}, {Name: "m2"}}}
	e.applyRegistration(now.Add(time.Second), late)
	is.True(e.freeMemory(models) < 72*gigabyte)
	is.True(!e.stateUnknown)
	late.Heartbeat = 3
	e.applyRegistration(now.Add(confirmTimeout+time.Second), late)
	// the load has been missing for longer than any load takes, so the state is queried
	is.True(e.stateUnknown)
	is.True(e.freeMemory(models) < 72*gigabyte)
}

// A registration that was written before the engine's state arrives after it. If it removed a load
// that the state lists, the same memory would be allocated twice. A leader queries the state
// instead.
func TestRegistrationOlderThanStateRemovesNothing(t *testing.T) {
	is := is.New(t)
	models, now := testModels(), time.Now()
	e := testEngine(galenastair.LoadedModel{Name: "m1"}, galenastair.LoadedModel{Name: "m2"})
	e.beginTerm()
	three := []galenastair.LoadedModel{{Name: "m1", Adapters: []string{"a1"}}, {Name: "m2"}, {Name: "m3"}}
	e.applyState(now, galenastair.EngineState{Sequence: 3, Models: three})
	e.stateUnknown = false
	old := pool.Server{ID: "e1", Service: "writer", Incarnation: 1, Heartbeat: 2, Models: []galenastair.LoadedModel{{Name: "m1"}, {Name: "m2"}}}
	e.applyRegistration(now.Add(maxRegistrationDelay/2), old)
	is.True(e.freeMemory(models) < 72*gigabyte)
	is.Equal(len(e.adapters), 1)
	old.Heartbeat = 3
	e.applyRegistration(now.Add(confirmTimeout+maxRegistrationDelay), old)
	is.True(e.freeMemory(models) < 72*gigabyte)
	is.True(e.stateUnknown)
}

// An engine that restarts with the same ID holds no models and counts its orders from 0. Orders
// with the previous count would never be accepted.
func TestRestartWithSameIDStartsEmpty(t *testing.T) {
	is := is.New(t)
	s := newService(&catalog.Service{Name: "writer", Engine: testModels().engine})
	now := time.Now()
	s.setEngine(now, pool.Server{ID: "e1", Incarnation: 1, Heartbeat: 9, Models: []galenastair.LoadedModel{{Name: "m1"}}})
	s.engines["e1"].sequence = 4
	s.setEngine(now, pool.Server{ID: "e1", Incarnation: 2, Heartbeat: 1})
	is.Equal(s.engines["e1"].sequence, int64(0))
	is.Equal(len(s.engines["e1"].models), 0)
}
