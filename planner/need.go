package planner

import (
	"cmp"
	"context"
	"slices"
	"time"

	"galenastair"
	"galenastair/place"
)

// EnsureLoaded returns where a model or adapter that a request waits for will be available. For an
// adapter, it waits until the engine has accepted the load; for a model, it estimates when the
// load will be done. Copies that are ready are returned even while the lease cannot be renewed.
func (p *Planner) EnsureLoaded(ctx context.Context, name galenastair.ModelName) (Availability, error) {
	var where Availability
	var wait <-chan bool
	err := ErrNotLeader
	doErr := p.loop.Do(ctx, func() {
		if p.lease.ServesPeers() {
			where, wait = p.locate(name)
			err = nil
		}
	})
	if doErr != nil {
		return Availability{}, doErr
	}
	if err != nil || wait == nil {
		return where, err
	}
	select {
	case accepted := <-wait:
		if !accepted {
			return Availability{}, nil
		}
		return where, nil
	case <-ctx.Done():
		return Availability{}, ctx.Err()
	}
}

func (p *Planner) locate(name galenastair.ModelName) (Availability, <-chan bool) {
	now := p.clock.Now()
	model, adapter := splitName(name)
	for _, s := range p.services {
		if !s.modelSet.knows(model, adapter) {
			continue
		}
		s.recordDemand(now, name, 0)
		if where, ok := s.readyCopy(now, name, adapter != ""); ok {
			return where, nil
		}
		if adapter == "" || s.modelCopies(model) == 0 {
			return s.predictModelLoad(now, model), nil
		}
		return p.awaitAdapter(now, s, name)
	}
	return Availability{}, nil
}

// readyCopy returns the least loaded engine that holds a model or adapter.
func (s *service) readyCopy(now time.Time, name galenastair.ModelName, adapter bool) (Availability, bool) {
	var best *engine
	for _, e := range s.engines {
		copies := e.models
		if adapter {
			copies = e.adapters
		}
		c := copies[name]
		if c == nil || c.state != place.Ready || !s.preferred(e) {
			continue
		}
		if best == nil || s.load(e) < s.load(best) {
			best = e
		}
	}
	if best == nil {
		return Availability{}, false
	}
	ready := time.Duration(0)
	if c := best.adapters[name]; c != nil {
		ready = max(0, c.stateSince.Add(adapterLoadTime).Sub(now))
	}
	return Availability{Server: best.server.ID, ReadyIn: ready}, true
}

// predictModelLoad estimates when a model that is being loaded, or may be loaded, will be ready. A
// caller that is told to retry sooner is refused again and gives up.
func (s *service) predictModelLoad(now time.Time, m galenastair.ModelName) Availability {
	var soonest Availability
	shortest := s.modelSet.models[m].LoadTime
	for _, e := range s.engines {
		if e.server.Leaving {
			continue
		}
		shortest = min(shortest, s.loadTime(e, m))
		c := e.models[m]
		if c == nil || c.state != place.Loading {
			continue
		}
		ready := max(0, c.stateSince.Add(cmp.Or(c.loadTime, s.loadTime(e, m))).Sub(now))
		if soonest.Server == "" || ready < soonest.ReadyIn {
			soonest = Availability{Server: e.server.ID, ReadyIn: ready}
		}
	}
	if soonest.Server != "" {
		return soonest
	}
	return Availability{ReadyIn: evictionTime + shortest}
}

// loadTime returns how long an engine takes to load a model from where it has the weights.
func (s *service) loadTime(e *engine, name galenastair.ModelName) time.Duration {
	m := s.modelSet.models[name]
	switch {
	case m.MemoryLoadTime > 0 && slices.Contains(e.server.InMemoryModels, name):
		return m.MemoryLoadTime
	case m.DiskLoadTime > 0 && slices.Contains(e.server.CachedModels, name):
		return m.DiskLoadTime
	}
	return m.LoadTime
}

// recordLoadTime keeps the time of a load that was accepted: from then on the engine's registration
// shows that it has the weights.
func (s *service) recordLoadTime(e *engine, q queuedOrder) {
	if c := e.models[q.model]; c != nil && q.adapter == "" && q.kind == galenastair.LoadModel && s.modelSet.models[q.model] != nil {
		c.loadTime = s.loadTime(e, q.model)
	}
}

// evictionTime is how long it typically takes before a model without a copy can be loaded: a
// planning round, an unload, and the end of the requests that use the unloaded model.
const evictionTime = time.Second

// awaitAdapter returns where an adapter will be, and a channel that receives the outcome of its
// load: one that is already queued, or else a new one. An engine whose last order got no answer is
// used only if there is no other, since it takes no order until its state is known.
func (p *Planner) awaitAdapter(now time.Time, s *service, name galenastair.ModelName) (Availability, <-chan bool) {
	stateUnknown, pending := p.findPendingLoad(s, name)
	if pending != nil && !stateUnknown {
		return pending.availability()
	}
	if _, ok := p.lease.OrderFence(); !ok {
		return pending.availability()
	}
	e, done := s.loadAdapter(now, name, place.Unreachable)
	if e == nil {
		return pending.availability()
	}
	p.sendNextOrder(now, s, e)
	return (&pendingLoad{e, done}).availability()
}

// pendingLoad is a load that is queued on an engine or in flight.
type pendingLoad struct {
	engine *engine
	done   *waiters
}

// availability returns where and when the load will be ready, or nothing for a nil load.
func (l *pendingLoad) availability() (Availability, <-chan bool) {
	if l == nil {
		return Availability{}, nil
	}
	return Availability{Server: l.engine.server.ID, ReadyIn: adapterLoadTime}, l.done.add()
}

// findPendingLoad returns a load of an adapter that is queued or in flight, preferably on an
// engine whose state is known.
func (p *Planner) findPendingLoad(s *service, name galenastair.ModelName) (stateUnknown bool, found *pendingLoad) {
	for _, e := range s.engines {
		done := e.pendingWaiters(name)
		if done == nil || !s.preferred(e) || found != nil && e.stateUnknown {
			continue
		}
		stateUnknown, found = e.stateUnknown, &pendingLoad{e, done}
	}
	return stateUnknown, found
}
