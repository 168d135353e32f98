package planner

import (
	"slices"
	"strings"
	"time"

	"galenastair"
	"galenastair/place"
	"galenastair/pool"
)

// item is one model or adapter as an engine holds it.
type item struct {
	state place.CopyState
	// since is when it was last known to be in its state, by an order or a list.
	since time.Time
	used  time.Time
	// sent says that the order that put it in its state was accepted.
	sent bool
	// inUse is until when an adapter that goes may still hold its place: its engine
	// stops listing it before the requests that use it have ended.
	inUse time.Time
}

// task is an order that is wanted.
type task struct {
	kind    galenastair.OrderKind
	model   galenastair.ModelName
	adapter string
	reason  place.Reason
	// done are told once the order was accepted or given up.
	done *waiters
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
	// unseen is how long an accepted order may not show in the engine's registration
	// before its state is asked for: a load takes some seconds.
	unseen = 5 * time.Second
	// longestUse is how long the requests run that use an adapter which is to go.
	longestUse = 6 * time.Second
	// longestLate is how long an order without an answer may act after it was sent.
	longestLate = 12 * time.Second
	// lateBeat is how long a registration may still show what was before an order: it
	// is written every heartbeat of about a second, and was on its way for a while.
	lateBeat = 2500 * time.Millisecond
	// adapterLoad is what an adapter takes at most while few are on their way, and a round
	// trip.
	adapterLoad = 45 * time.Millisecond
)

// engine is what the planner knows of one model engine.
type engine struct {
	server pool.Server
	// sequence counts the orders that it has accepted since its start, as far as known;
	// an engine's answer "busy" shows that it is wrong.
	sequence int64
	accepts  time.Time
	// lost is the count that the last order without an answer presumes, and lostUntil
	// until when it may act.
	lost      int64
	lostUntil time.Time
	models    map[galenastair.ModelName]*item
	adapters  map[galenastair.ModelName]*item
	tasks     []task
	// running says that an order is under way, unsure that the outcome of one is not
	// known, so that its state must be asked for before the next.
	running bool
	unsure  bool
	// strict says that this instance orders, so that what it counts must not be too low.
	strict bool
	rest   time.Time
}

func newEngine(s pool.Server) *engine {
	e := &engine{models: map[galenastair.ModelName]*item{}, adapters: map[galenastair.ModelName]*item{}}
	e.registered(time.Time{}, s)
	return e
}

// beginTerm makes the engine's state be asked for before the first order: another
// holder's orders may have come since its last registration.
func (e *engine) beginTerm() { e.strict, e.unsure = true, true }

// endTerm forgets the orders of a term.
func (e *engine) endTerm() {
	for _, t := range e.tasks {
		e.givenUp(t)
		t.done.notify(false)
	}
	e.tasks = nil
	e.strict = false
}

// registered takes in a registration. While this instance orders, what it lacks is
// asked for and not dropped: a registration that was written before an order and read after its
// effect would have a place given away twice.
func (e *engine) registered(now time.Time, s pool.Server) {
	if s.Beat < e.server.Beat {
		return
	}
	e.server = s
	models, adapters := listed(s.Models)
	lacks := syncItems(now, e.models, models, unseen, !e.strict)
	lacks = syncItems(now, e.adapters, adapters, lateBeat, !e.strict) || lacks
	e.unsure = e.unsure || e.strict && lacks
}

// stated takes in the state that an idle engine gave when asked.
func (e *engine) stated(now time.Time, s galenastair.EngineState) {
	models, adapters := listed(s.Models)
	for _, name := range s.Fetching {
		adapters[name] = true
	}
	syncItems(now, e.models, models, reportLag, true)
	syncItems(now, e.adapters, adapters, reportLag, true)
	for _, t := range e.tasks {
		// what waits to be sent is not in the state yet, and still takes its place
		e.count(now, t)
	}
}

func listed(ms []galenastair.EngineModel) (models, adapters map[galenastair.ModelName]bool) {
	models, adapters = map[galenastair.ModelName]bool{}, map[galenastair.ModelName]bool{}
	for _, m := range ms {
		models[m.Name] = true
		for _, a := range m.Adapters {
			adapters[adapterName(m.Name, a)] = true
		}
	}
	return models, adapters
}

// syncItems goes by what an engine lists: what it lists is there, and what it lacks is
// gone if drop allows that and it was not seen for so long that the list must be newer.
// The result says that something is lacking, or has not gone, for that long.
func syncItems(now time.Time, items map[galenastair.ModelName]*item, listed map[galenastair.ModelName]bool, late time.Duration, drop bool) bool {
	lacks := false
	for name, it := range items {
		overdue := now.Sub(it.since) > late
		switch {
		case now.Before(it.inUse):
		case listed[name] && it.state == place.Going:
			if overdue && now.Sub(it.since) > unseen {
				it.state = place.Ready
			}
		case listed[name]:
			it.state = place.Ready
		case it.state == place.Going && it.sent || overdue && drop:
			delete(items, name)
		default:
			lacks = lacks || overdue
		}
	}
	for name := range listed {
		if items[name] == nil {
			items[name] = &item{state: place.Ready}
		}
		if items[name].state == place.Ready {
			items[name].since = now
		}
	}
	return lacks
}

// fits says whether an order may be sent by all that the engine may hold by now: an unload that
// acts late, or waits for its users, leaves no room for the load that was planned in its place.
func (e *engine) fits(c *contents, t task) bool {
	if t.kind != galenastair.LoadModel {
		return true
	}
	if t.adapter != "" {
		return len(e.adapters) <= c.engine.AdapterPlaces && e.ready(t.model)
	}
	return e.free(c) >= 0
}

// counts names all that is counted as held, for logs: a letter for the state of each
// that is not simply there.
func (e *engine) counts() string {
	var names []string
	for _, items := range []map[galenastair.ModelName]*item{e.models, e.adapters} {
		for name, it := range items {
			mark := map[place.CopyState]string{place.Coming: "+", place.Going: "-"}[it.state]
			names = append(names, mark+string(name))
		}
	}
	slices.Sort(names)
	return strings.Join(names, " ")
}

// moving says whether a model is being loaded or unloaded; the engine takes no other
// order meanwhile.
func (e *engine) moving() bool {
	for _, it := range e.models {
		if it.state != place.Ready {
			return true
		}
	}
	return false
}

// add queues an order and counts what it may do at once.
func (e *engine) add(now time.Time, t task) *waiters {
	e.count(now, t)
	t.done = &waiters{}
	e.tasks = append(e.tasks, t)
	return t.done
}

// coming returns who waits for a load that is queued or under way; nil if none is.
func (e *engine) coming(name galenastair.ModelName) *waiters {
	for _, t := range e.tasks {
		if t.kind == galenastair.LoadModel && t.name() == name {
			return t.done
		}
	}
	return nil
}

// count counts what a queued order may do.
func (e *engine) count(now time.Time, t task) {
	items := e.itemsOf(t)
	if t.kind == galenastair.LoadModel {
		items[t.name()] = &item{state: place.Coming, since: now, used: now}
	} else if it := items[t.name()]; it != nil {
		it.state, it.since, it.sent = place.Going, now, false
	}
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
		// it is in use, and goes when its requests have ended
		if it := items[t.name()]; it != nil {
			it.inUse = now.Add(longestUse)
		}
	case t.kind == galenastair.UnloadModel:
		e.dropAdapters(t.model)
	}
	if it := items[t.name()]; it != nil {
		it.since, it.sent = now, true
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

// alreadyApplied notes that an order had nothing to do, or was done at once.
func (e *engine) alreadyApplied(now time.Time, t task) {
	items := e.itemsOf(t)
	if t.kind == galenastair.LoadModel {
		items[t.name()] = &item{state: place.Ready, since: now, used: now}
		return
	}
	delete(items, t.name())
	if t.adapter != "" {
		// the answer does not say whether the adapter was there, so whether this counted;
		// counted too high, a late order could act on top of others
		e.unsure = true
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
