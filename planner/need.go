package planner

import (
	"context"
	"time"

	"galenastair"
	"galenastair/place"
)

// Need promises a place for a model or adapter that a request waits for. For an
// adapter it waits until its order was taken; for a model it foretells its load. Where one is
// held is told also while the lease can't be renewed.
func (p *Planner) Need(ctx context.Context, name galenastair.ModelName) (Promise, error) {
	var promise Promise
	var wait <-chan bool
	err := ErrNotPlanner
	doErr := p.loop.Do(ctx, func() {
		if p.lease.Hosts() {
			promise, wait = p.need(name)
			err = nil
		}
	})
	if doErr != nil {
		return Promise{}, doErr
	}
	if err != nil || wait == nil {
		return promise, err
	}
	select {
	case taken := <-wait:
		if !taken {
			return Promise{}, nil
		}
		return promise, nil
	case <-ctx.Done():
		return Promise{}, ctx.Err()
	}
}

func (p *Planner) need(name galenastair.ModelName) (Promise, <-chan bool) {
	now := p.clock.Now()
	model, adapter := splitName(name)
	for _, s := range p.sites {
		if !s.contents.knows(model, adapter) {
			continue
		}
		s.asked(now, name, 0)
		if promise, ok := s.held(now, name, adapter != ""); ok {
			return promise, nil
		}
		if adapter == "" || s.modelCopies(model) == 0 {
			return s.foretellModel(now, model), nil
		}
		return p.fetch(now, s, name)
	}
	return Promise{}, nil
}

// held finds the least busy engine that holds a model or adapter.
func (s *site) held(now time.Time, name galenastair.ModelName, adapter bool) (Promise, bool) {
	var best *engine
	for _, e := range s.engines {
		items := e.models
		if adapter {
			items = e.adapters
		}
		it := items[name]
		if it == nil || it.state != place.Ready || !s.preferred(e) {
			continue
		}
		if best == nil || s.load(e) < s.load(best) {
			best = e
		}
	}
	if best == nil {
		return Promise{}, false
	}
	ready := time.Duration(0)
	if it := best.adapters[name]; it != nil {
		ready = max(0, it.since.Add(adapterLoad).Sub(now))
	}
	return Promise{Server: best.server.ID, Ready: ready}, true
}

// foretellModel says when a model that is being loaded will answer, or may be loaded: a caller
// that is told to come back sooner is refused again, and gives up.
func (s *site) foretellModel(now time.Time, m galenastair.ModelName) Promise {
	for _, e := range s.engines {
		it := e.models[m]
		if it == nil || it.state != place.Coming || e.server.Leaving {
			continue
		}
		left := it.since.Add(s.contents.models[m].Load).Sub(now)
		return Promise{Server: e.server.ID, Ready: max(0, left)}
	}
	return Promise{Ready: makingRoom + s.contents.models[m].Load}
}

// makingRoom is what it usually takes until a model that nobody has can be loaded: a round,
// an unload, and the end of the requests that use what goes.
const makingRoom = time.Second

// fetch returns where an adapter will be, and what tells the end of its order: one that is under
// way already, or else a new one. An engine whose last order got no answer comes last, since its
// next order waits until its state is known.
func (p *Planner) fetch(now time.Time, s *site, name galenastair.ModelName) (Promise, <-chan bool) {
	unsure, pending := p.coming(s, name)
	if pending != nil && !unsure {
		return pending.promise()
	}
	if _, ok := p.lease.Order(); !ok {
		return pending.promise()
	}
	e, done := s.loadAdapter(now, name, place.Unreachable)
	if e == nil {
		return pending.promise()
	}
	p.startEngine(now, s, e)
	return (&pendingLoad{e, done}).promise()
}

// pendingLoad is a load that an engine has been or will be ordered.
type pendingLoad struct {
	engine *engine
	done   *waiters
}

// promise says where and when the load will be; nowhere if there is none.
func (l *pendingLoad) promise() (Promise, <-chan bool) {
	if l == nil {
		return Promise{}, nil
	}
	return Promise{Server: l.engine.server.ID, Ready: adapterLoad}, l.done.add()
}

// coming finds a load of an adapter that is queued or under way, on an engine whose state is
// known if there is one.
func (p *Planner) coming(s *site, name galenastair.ModelName) (unsure bool, found *pendingLoad) {
	for _, e := range s.engines {
		done := e.coming(name)
		if done == nil || !s.preferred(e) || found != nil && e.unsure {
			continue
		}
		unsure, found = e.unsure, &pendingLoad{e, done}
	}
	return unsure, found
}
