package planner

import (
	"time"

	"galenastair"
	"galenastair/place"
	"galenastair/pool"
)

// item is one model or adapter as an engine holds it.
type item struct {
	state place.CopyState
	since time.Time
	used  time.Time
}

// task is an order that is wanted.
type task struct {
	kind    galenastair.OrderKind
	model   galenastair.ModelName
	adapter string
	reason  place.Reason
	// done is told once the order was accepted or given up; it may be nil.
	done chan<- bool
}

// name is the model's, or the adapter's behind a slash.
func (t task) name() galenastair.ModelName { return adapterName(t.model, t.adapter) }

func adapterName(m galenastair.ModelName, adapter string) galenastair.ModelName {
	if adapter == "" {
		return m
	}
	return m + "/" + galenastair.ModelName(adapter)
}

const (
	// unseen is how long an accepted load may be missing from the engine's
	// registration before its state is asked for: a load takes some seconds.
	unseen = 6 * time.Second
	// lateBeat is how long a registration may still show what was before an order: it
	// is written every heartbeat of about a second, and was on its way for a while.
	lateBeat = 2500 * time.Millisecond
	// adapterLoad is what an adapter takes at most while few are on their way, 9 to 29
	// ms by the users' sheets, and a round trip.
	adapterLoad = 45 * time.Millisecond
)

// engine is what the planner knows of one model engine.
type engine struct {
	server pool.Server
	// sequence counts the orders that it has accepted since its start, as far as known;
	// an engine's answer "busy" shows that it is wrong.
	sequence int64
	accepts  time.Time
	models   map[galenastair.ModelName]*item
	adapters map[galenastair.ModelName]*item
	tasks    []task
	// running says that an order is under way, unsure that the outcome of one is not
	// known, so that its state must be asked for before the next.
	running bool
	unsure  bool
	rest    time.Time
}

func newEngine(s pool.Server) *engine {
	e := &engine{models: map[galenastair.ModelName]*item{}, adapters: map[galenastair.ModelName]*item{}}
	e.registered(time.Time{}, s)
	return e
}

// registered takes in a registration.
func (e *engine) registered(now time.Time, s pool.Server) {
	if s.Beat < e.server.Beat {
		return
	}
	e.server = s
	e.sync(now, s.Models)
}

// sync makes the items those that the engine lists, but for orders that it accepted
// and that may still be on their way.
func (e *engine) sync(now time.Time, models []galenastair.EngineModel) {
	listedModels, listedAdapters := map[galenastair.ModelName]bool{}, map[galenastair.ModelName]bool{}
	for _, m := range models {
		listedModels[m.Name] = true
		for _, a := range m.Adapters {
			listedAdapters[adapterName(m.Name, a)] = true
		}
	}
	syncItems(now, e.models, listedModels, unseen)
	syncItems(now, e.adapters, listedAdapters, lateBeat)
}

func syncItems(now time.Time, items map[galenastair.ModelName]*item, listed map[galenastair.ModelName]bool, late time.Duration) {
	for name, it := range items {
		switch {
		case listed[name] && it.state == place.Coming:
			it.state = place.Ready
		case !listed[name] && it.state == place.Going:
			delete(items, name)
		case !listed[name] && now.Sub(it.since) > late:
			delete(items, name)
		case listed[name] && it.state == place.Going && now.Sub(it.since) > 2*unseen:
			it.state = place.Ready
		}
	}
	for name := range listed {
		if items[name] == nil {
			items[name] = &item{state: place.Ready, since: now}
		}
	}
}

// add queues an order and counts what it may do at once.
func (e *engine) add(now time.Time, t task) {
	items := e.itemsOf(t)
	if t.kind == galenastair.LoadModel {
		items[t.name()] = &item{state: place.Coming, since: now, used: now}
	} else if it := items[t.name()]; it != nil {
		it.state, it.since = place.Going, now
	}
	e.tasks = append(e.tasks, t)
}

func (e *engine) itemsOf(t task) map[galenastair.ModelName]*item {
	if t.adapter != "" {
		return e.adapters
	}
	return e.models
}

// accepted notes that the engine took an order.
func (e *engine) accepted(now time.Time, t task) {
	e.sequence++
	e.accepts = now
	items := e.itemsOf(t)
	switch {
	case t.adapter != "" && t.kind == galenastair.LoadModel:
		items[t.name()] = &item{state: place.Ready, since: now, used: now}
	case t.adapter != "":
		delete(items, t.name())
	case t.kind == galenastair.UnloadModel:
		e.dropAdapters(t.model)
	}
	if it := items[t.name()]; it != nil {
		it.since = now
	}
}

// dropAdapters forgets the adapters of a model that goes.
func (e *engine) dropAdapters(m galenastair.ModelName) {
	prefix := string(m) + "/"
	for name := range e.adapters {
		if len(name) > len(prefix) && string(name[:len(prefix)]) == prefix {
			delete(e.adapters, name)
		}
	}
}

// heldAlready notes that an order had nothing to do, or was done at once.
func (e *engine) heldAlready(now time.Time, t task) {
	items := e.itemsOf(t)
	if t.kind == galenastair.LoadModel {
		items[t.name()] = &item{state: place.Ready, since: now, used: now}
		return
	}
	delete(items, t.name())
	if t.adapter != "" {
		e.sequence++
		e.accepts = now
	}
}

// givenUp takes back what a queued order was counted for.
func (e *engine) givenUp(t task) {
	items := e.itemsOf(t)
	it := items[t.name()]
	if it == nil {
		return
	}
	if t.kind == galenastair.LoadModel && it.state == place.Coming {
		delete(items, t.name())
	} else if it.state == place.Going {
		it.state = place.Ready
	}
}

// free is the memory that no model or adapter can take any more.
func (e *engine) free(c *contents) galenastair.Bytes {
	free := c.engine.Memory
	for name := range e.models {
		free -= c.memory(name)
	}
	// all places are counted as taken, so that adapters never wait for memory
	return free - galenastair.Bytes(c.engine.AdapterPlaces)*c.largestAdapter
}

// ready says whether a model is ready and will stay.
func (e *engine) ready(m galenastair.ModelName) bool {
	it := e.models[m]
	return it != nil && it.state == place.Ready && !e.server.Leaving
}
