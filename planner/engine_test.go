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

// testContents is a service whose engines hold three models and two adapters.
func testContents() *contents {
	return newContents(&catalog.Service{Name: "writer", Engine: &catalog.Engine{
		Slots:          64,
		Memory:         230 * gigabyte,
		AdapterPlaces:  2,
		LoadsPerSecond: 1,
		Models: []catalog.Model{
			{Name: "m1", Memory: 72 * gigabyte, Load: 2 * time.Second, Adapters: 5, AdapterMemory: gigabyte / 20},
			{Name: "m2", Memory: 72 * gigabyte, Load: 2 * time.Second},
			{Name: "m3", Memory: 72 * gigabyte, Load: 2 * time.Second},
			{Name: "m4", Memory: 72 * gigabyte, Load: 2 * time.Second},
		},
	}})
}

func testEngine(models ...galenastair.EngineModel) *engine {
	return newEngine(pool.Server{ID: "e1", Service: "writer", Born: 1, Beat: 1, Models: models})
}

// A planner queued the load of m3, found that its count of orders was off and asked the
// engine for its state. The state did not list m3 yet, so its memory was counted as free
// again; once m3 was sent, a further load was planned in its place, and the engine
// crashed for lack of memory.
func TestQueuedLoadTakesMemoryThroughState(t *testing.T) {
	is := is.New(t)
	c, now := testContents(), time.Now()
	e := testEngine(galenastair.EngineModel{Name: "m1"}, galenastair.EngineModel{Name: "m2"})
	e.add(now, task{kind: galenastair.LoadModel, model: "m3"})
	e.stated(now, galenastair.EngineState{Sequence: 7, Models: []galenastair.EngineModel{{Name: "m1"}, {Name: "m2"}}})
	is.Equal(e.models["m3"].state, place.Coming)
	is.True(e.free(c) < 72*gigabyte)
	e.add(now, task{kind: galenastair.LoadModel, model: "m4"})
	is.True(!e.fits(c, e.tasks[1]))
}

// An adapter in use is unloaded only when its requests have ended. Counted as gone at
// once, its place was given to another, and the engine was ordered to hold too many.
func TestAdapterInUseKeepsItsPlace(t *testing.T) {
	is := is.New(t)
	c, now := testContents(), time.Now()
	e := testEngine(galenastair.EngineModel{Name: "m1", Adapters: []string{"a1", "a2"}})
	unload := task{kind: galenastair.UnloadModel, model: "m1", adapter: "a1"}
	e.add(now, unload)
	e.accepted(now, unload)
	load := task{kind: galenastair.LoadModel, model: "m1", adapter: "a3"}
	e.tasks = nil
	e.add(now, load)
	is.True(!e.fits(c, load))
	state := galenastair.EngineState{Sequence: 1, Models: []galenastair.EngineModel{{Name: "m1", Adapters: []string{"a2"}}}}
	// the engine no longer lists it, and still runs its requests
	e.stated(now.Add(time.Second), state)
	is.True(!e.fits(c, load))
	e.stated(now.Add(longestUse), state)
	is.True(e.fits(c, load))
}

// A registration that was written before a load was carried out arrives after it. The
// load must stay counted, or its memory is given away twice.
func TestLateRegistrationKeepsOrderedLoad(t *testing.T) {
	is := is.New(t)
	c, now := testContents(), time.Now()
	e := testEngine(galenastair.EngineModel{Name: "m1"}, galenastair.EngineModel{Name: "m2"})
	load := task{kind: galenastair.LoadModel, model: "m3"}
	e.add(now, load)
	e.accepted(now, load)
	e.tasks = nil
	e.strict = true
	late := pool.Server{ID: "e1", Service: "writer", Born: 1, Beat: 2, Models: []galenastair.EngineModel{{Name: "m1"}, {Name: "m2"}}}
	e.registered(now.Add(time.Second), late)
	is.True(e.free(c) < 72*gigabyte)
	is.True(!e.unsure)
	late.Beat = 3
	e.registered(now.Add(unseen+time.Second), late)
	// it does not show for longer than any load takes: the engine is asked
	is.True(e.unsure)
	is.True(e.free(c) < 72*gigabyte)
}

// An engine's state shows a load; then a registration is read that was written before
// it. Going by that, the planner counted the memory as free, gave it away again, and the
// engine was ordered to hold more than it can. The instance that orders asks instead.
func TestOldRegistrationBehindStateDropsNothing(t *testing.T) {
	is := is.New(t)
	c, now := testContents(), time.Now()
	e := testEngine(galenastair.EngineModel{Name: "m1"}, galenastair.EngineModel{Name: "m2"})
	e.beginTerm()
	three := []galenastair.EngineModel{{Name: "m1", Adapters: []string{"a1"}}, {Name: "m2"}, {Name: "m3"}}
	e.stated(now, galenastair.EngineState{Sequence: 3, Models: three})
	e.unsure = false
	old := pool.Server{ID: "e1", Service: "writer", Born: 1, Beat: 2, Models: []galenastair.EngineModel{{Name: "m1"}, {Name: "m2"}}}
	e.registered(now.Add(lateBeat/2), old)
	is.True(e.free(c) < 72*gigabyte)
	is.Equal(len(e.adapters), 1)
	old.Beat = 3
	e.registered(now.Add(unseen+lateBeat), old)
	is.True(e.free(c) < 72*gigabyte)
	is.True(e.unsure)
}

// A restart under the old id holds nothing of before and counts its orders anew; an
// order that presumes the old count would never be taken.
func TestRestartUnderOldIDHoldsNothing(t *testing.T) {
	is := is.New(t)
	s := newSite(&catalog.Service{Name: "writer", Engine: testContents().engine})
	now := time.Now()
	s.set(now, pool.Server{ID: "e1", Born: 1, Beat: 9, Models: []galenastair.EngineModel{{Name: "m1"}}})
	s.engines["e1"].sequence = 4
	s.set(now, pool.Server{ID: "e1", Born: 2, Beat: 1})
	is.Equal(s.engines["e1"].sequence, int64(0))
	is.Equal(len(s.engines["e1"].models), 0)
}
