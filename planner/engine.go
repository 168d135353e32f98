package planner

import (
	"slices"
	"strings"
	"time"

	"galenastair"
	"galenastair/place"
	"galenastair/pool"
)

// modelCopy is one model or adapter on an engine.
type modelCopy struct {
	state place.CopyState
	// stateSince is when the state was last confirmed, by an order or by the engine's own list.
	stateSince time.Time
	lastUsed   time.Time
	// loadTime is how long a load takes from its acceptance.
	loadTime time.Duration
	// accepted reports that the engine accepted the order that led to this state.
	accepted bool
	// inUseUntil is when an adapter that is being unloaded has freed its slot at the latest. Its
	// engine stops listing it before the requests that use it have ended.
	inUseUntil time.Time
}

// queuedOrder is an order that has not been completed yet.
type queuedOrder struct {
	kind    galenastair.OrderKind
	model   galenastair.ModelName
	adapter string
	reason  place.Reason
	// done is notified when the order is accepted or given up.
	done *waiters
}

// name returns the name of the model, or MODEL/ADAPTER for an adapter.
func (q queuedOrder) name() galenastair.ModelName { return adapterName(q.model, q.adapter) }

func adapterName(m galenastair.ModelName, adapter string) galenastair.ModelName {
	if adapter == "" {
		return m
	}
	return m + "/" + galenastair.ModelName(adapter)
}

const (
	// confirmTimeout is how long an accepted order may be missing from the engine's registration
	// before the engine's state is queried. A load takes some seconds.
	confirmTimeout = 5 * time.Second
	// maxAdapterUse bounds how long requests keep using an adapter that has been ordered to
	// unload.
	maxAdapterUse = 6 * time.Second
	// maxOrderDelay bounds how long after it was sent an unanswered order may still take effect.
	maxOrderDelay = 12 * time.Second
	// maxRegistrationDelay bounds how long a registration may still show the state before an
	// order. Registrations are written about once per second and take time to arrive.
	maxRegistrationDelay = 2500 * time.Millisecond
	// adapterLoadTime bounds the time to load an adapter, including a round trip, while the engine
	// loads only a few.
	adapterLoadTime = 45 * time.Millisecond
)

// engine is the planner's view of one model engine.
type engine struct {
	server pool.Server
	// sequence is the number of orders accepted since the engine's start, as far as known. It is
	// wrong if the engine answers that it is busy.
	sequence   int64
	acceptedAt time.Time
	// lostSequence is the sequence number of the last unanswered order. That order may take effect
	// until lostUntil.
	lostSequence int64
	lostUntil    time.Time
	models       map[galenastair.ModelName]*modelCopy
	adapters     map[galenastair.ModelName]*modelCopy
	queue        []queuedOrder
	// orderInFlight is set while a call to the engine is running. stateUnknown is set if the
	// outcome of an order is unknown; the engine's state is then queried before the next order is
	// sent.
	orderInFlight bool
	stateUnknown  bool
	// leading is set while this instance sends the orders. What the engine holds must not be
	// underestimated then.
	leading bool
	retryAt time.Time
}

func newEngine(s pool.Server) *engine {
	e := &engine{models: map[galenastair.ModelName]*modelCopy{}, adapters: map[galenastair.ModelName]*modelCopy{}}
	e.applyRegistration(time.Time{}, s)
	return e
}

// beginTerm has the engine's state queried before the first order, since a previous leader's
// orders may have taken effect after its last registration.
func (e *engine) beginTerm() { e.leading, e.stateUnknown = true, true }

// endTerm gives up all queued orders.
func (e *engine) endTerm() {
	for _, q := range e.queue {
		e.release(q)
		q.done.notify(false)
	}
	e.queue = nil
	e.leading = false
}

// applyRegistration applies a registration. While this instance leads, copies that it does not
// list are not removed; the engine's state is queried instead. A registration that was written
// before an order but read after its effect would otherwise free the same memory twice.
func (e *engine) applyRegistration(now time.Time, s pool.Server) {
	if s.Heartbeat < e.server.Heartbeat {
		return
	}
	e.server = s
	models, adapters := listedNames(s.Models)
	missing := syncCopies(now, e.models, models, confirmTimeout, !e.leading)
	missing = syncCopies(now, e.adapters, adapters, maxRegistrationDelay, !e.leading) || missing
	e.stateUnknown = e.stateUnknown || e.leading && missing
}

// applyState applies the state that an idle engine returned.
func (e *engine) applyState(now time.Time, s galenastair.EngineState) {
	models, adapters := listedNames(s.Models)
	for _, name := range s.LoadingAdapters {
		adapters[name] = true
	}
	syncCopies(now, e.models, models, maxReportAge, true)
	syncCopies(now, e.adapters, adapters, maxReportAge, true)
	for _, q := range e.queue {
		// queued orders are not part of the state yet, and still need their memory
		e.reserve(now, q)
	}
}

func listedNames(ms []galenastair.LoadedModel) (models, adapters map[galenastair.ModelName]bool) {
	models, adapters = map[galenastair.ModelName]bool{}, map[galenastair.ModelName]bool{}
	for _, m := range ms {
		models[m.Name] = true
		for _, a := range m.Adapters {
			adapters[adapterName(m.Name, a)] = true
		}
	}
	return models, adapters
}

// syncCopies updates copies from the names that an engine lists. Listed names are present. A name
// that is not listed is removed if drop is set and its state was last confirmed longer ago than
// late, so that the list must be newer. The result reports whether a copy has been missing for
// longer than late without being removed.
func syncCopies(now time.Time, copies map[galenastair.ModelName]*modelCopy, listed map[galenastair.ModelName]bool, late time.Duration, drop bool) bool {
	missing := false
	for name, c := range copies {
		overdue := now.Sub(c.stateSince) > late
		switch {
		case now.Before(c.inUseUntil):
		case listed[name] && c.state == place.Unloading:
			if overdue && now.Sub(c.stateSince) > confirmTimeout {
				c.state = place.Ready
			}
		case listed[name]:
			c.state = place.Ready
		case c.state == place.Unloading && c.accepted || overdue && drop:
			delete(copies, name)
		default:
			missing = missing || overdue
		}
	}
	for name := range listed {
		if copies[name] == nil {
			copies[name] = &modelCopy{state: place.Ready}
		}
		if copies[name].state == place.Ready {
			copies[name].stateSince = now
		}
	}
	return missing
}

// hasRoom reports whether an order can be sent given everything that the engine may hold. An
// unload that takes effect late, or waits for requests to end, leaves no room for the load that
// was planned to follow it.
func (e *engine) hasRoom(models *modelSet, q queuedOrder) bool {
	if q.kind != galenastair.LoadModel {
		return true
	}
	if q.adapter != "" {
		return len(e.adapters) <= models.engine.AdapterSlots && e.ready(q.model)
	}
	return e.freeMemory(models) >= 0
}

// heldSummary lists what the engine is assumed to hold, for logs. A copy that is being loaded is
// prefixed with "+", one that is being unloaded with "-".
func (e *engine) heldSummary() string {
	var names []string
	for _, copies := range []map[galenastair.ModelName]*modelCopy{e.models, e.adapters} {
		for name, c := range copies {
			mark := map[place.CopyState]string{place.Loading: "+", place.Unloading: "-"}[c.state]
			names = append(names, mark+string(name))
		}
	}
	slices.Sort(names)
	return strings.Join(names, " ")
}

// inTransition reports whether a model is being loaded or unloaded. The engine accepts no other
// order meanwhile.
func (e *engine) inTransition() bool {
	for _, c := range e.models {
		if c.state != place.Ready {
			return true
		}
	}
	return false
}

// enqueue queues an order and accounts for its effect at once.
func (e *engine) enqueue(now time.Time, q queuedOrder) *waiters {
	e.reserve(now, q)
	q.done = &waiters{}
	e.queue = append(e.queue, q)
	return q.done
}

// pendingWaiters returns the waiters of a load that is queued or in flight, or nil if there is
// none.
func (e *engine) pendingWaiters(name galenastair.ModelName) *waiters {
	for _, q := range e.queue {
		if q.kind == galenastair.LoadModel && q.name() == name {
			return q.done
		}
	}
	return nil
}

// reserve accounts for the effect of a queued order.
func (e *engine) reserve(now time.Time, q queuedOrder) {
	copies := e.copiesOf(q)
	if q.kind == galenastair.LoadModel {
		copies[q.name()] = &modelCopy{state: place.Loading, stateSince: now, lastUsed: now}
	} else if c := copies[q.name()]; c != nil {
		c.state, c.stateSince, c.accepted = place.Unloading, now, false
	}
}

func (e *engine) copiesOf(q queuedOrder) map[galenastair.ModelName]*modelCopy {
	if q.adapter != "" {
		return e.adapters
	}
	return e.models
}

// accepted records that the engine accepted an order.
func (e *engine) accepted(now time.Time, q queuedOrder) {
	e.sequence++
	e.acceptedAt = now
	copies := e.copiesOf(q)
	switch {
	case q.adapter != "" && q.kind == galenastair.LoadModel:
		copies[q.name()] = &modelCopy{state: place.Ready, stateSince: now, lastUsed: now}
	case q.adapter != "":
		// the adapter is in use, and is unloaded when its requests have ended
		if c := copies[q.name()]; c != nil {
			c.inUseUntil = now.Add(maxAdapterUse)
		}
	case q.kind == galenastair.UnloadModel:
		e.removeAdapters(q.model)
	}
	if c := copies[q.name()]; c != nil {
		c.stateSince, c.accepted = now, true
	}
}

// removeAdapters removes the adapters of a model that is being unloaded.
func (e *engine) removeAdapters(m galenastair.ModelName) {
	prefix := string(m) + "/"
	for name := range e.adapters {
		if len(name) > len(prefix) && string(name[:len(prefix)]) == prefix {
			delete(e.adapters, name)
		}
	}
}

// alreadyApplied records an order that had nothing to do or was completed at once.
func (e *engine) alreadyApplied(now time.Time, q queuedOrder) {
	copies := e.copiesOf(q)
	if q.kind == galenastair.LoadModel {
		copies[q.name()] = &modelCopy{state: place.Ready, stateSince: now, lastUsed: now}
		return
	}
	delete(copies, q.name())
	if q.adapter != "" {
		// The answer does not say whether the adapter was loaded, so it is unknown whether the
		// engine counted this order. If sequence were too high, an unanswered order could still
		// take effect after later ones.
		e.stateUnknown = true
	}
}

// release reverts what reserve accounted for.
func (e *engine) release(q queuedOrder) {
	copies := e.copiesOf(q)
	c := copies[q.name()]
	if c == nil {
		return
	}
	if q.kind == galenastair.LoadModel && c.state == place.Loading {
		delete(copies, q.name())
	} else if c.state == place.Unloading {
		c.state = place.Ready
	}
}

// freeMemory returns the memory that is left when everything that may be loaded is loaded.
func (e *engine) freeMemory(models *modelSet) galenastair.Bytes {
	free := models.engine.Memory
	for name := range e.models {
		free -= models.memory(name)
	}
	// all adapter slots count as used, so that adapters never wait for memory
	return free - galenastair.Bytes(models.engine.AdapterSlots)*models.largestAdapter
}

// ready reports whether a model is ready on an engine that is not leaving.
func (e *engine) ready(m galenastair.ModelName) bool {
	c := e.models[m]
	return c != nil && c.state == place.Ready && !e.server.Leaving
}
