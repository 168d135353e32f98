package gateway

import (
	"context"
	"time"

	"galenastair"
	"galenastair/pool"
	"galenastair/timer"
)

const (
	// mostNeeds bounds how often one request asks for a place: once, and once more
	// where the place was gone on arrival.
	mostNeeds = 2
	// serveMargin is kept of the time left when a request waits for a load: the answer
	// takes some time too.
	serveMargin = 400 * time.Millisecond
	// retryModel is the least time after which to come back for a model without a copy.
	retryModel = 1500 * time.Millisecond
	// retryAdapter is when to come back for an adapter without a place: the planner
	// changes hands within some seconds, a place gets free sooner.
	retryAdapter = 600 * time.Millisecond
	// retryNoServer is when to come back to a service without any backend server.
	retryNoServer = time.Second
)

// choose picks the backend server of the next attempt. A choice without a server means
// that something has changed and the next call may find one.
func (r *run) choose(ctx context.Context) (pool.Choice, error) {
	if err := ctx.Err(); err != nil {
		return pool.Choice{}, context.Cause(ctx)
	}
	now := r.g.clock.Now()
	choice, ok := r.g.pool.Choose(now, r.query())
	if ok {
		if err := r.tooLate(now, choice); err != nil {
			return choice, err
		}
		return r.admit(ctx, now, choice)
	}
	switch choice.Reason {
	case pool.ReasonDeferred:
		return pool.Choice{}, r.deferred(ctx, choice)
	case pool.ReasonNoServer:
		return choice, galenastair.Refuse(galenastair.ErrNoBackendServer, retryNoServer, string(r.service))
	case pool.ReasonNoModel:
		return pool.Choice{}, r.place(ctx)
	}
	return choice, galenastair.Refuse(galenastair.ErrNoBackendServer, retryFull, choice.Reason)
}

// admit asks for a turn at a backend server that has named a limit. One that takes no more in
// the time that the request can wait is left out of the next choice.
func (r *run) admit(ctx context.Context, now time.Time, c pool.Choice) (pool.Choice, error) {
	if c.Limit.PerSecond == 0 {
		return c, nil
	}
	patience := max(0, min(r.admission.route.Aim-c.Foretold, r.deadline.Sub(now)/2))
	v := r.g.limits.Admit(ctx, c.Limit, patience)
	r.g.logger.Log("event", "limit", "request", r.call.ID, "server", c.ID, "limit", c.Limit.PerSecond, "age", c.Limit.Age, "granted", v.Granted, "wait", v.Wait)
	if !v.Granted {
		r.g.pool.Defer(r.g.clock.Now(), c.ID, v.Wait-patience)
		return pool.Choice{}, nil
	}
	if v.Wait == 0 {
		return c, nil
	}
	if !timer.Wait(ctx, v.Wait) {
		return pool.Choice{}, context.Cause(ctx)
	}
	if !r.g.pool.Usable(r.g.clock.Now(), c.ID) {
		return pool.Choice{}, nil
	}
	return c, nil
}

// deferred has a model whose engines are all at their limits placed elsewhere. Without a place
// in time the caller comes back when one of them has room.
func (r *run) deferred(ctx context.Context, c pool.Choice) error {
	if r.call.Hints.Model != "" && r.needed < mostNeeds && r.place(ctx) == nil {
		return nil
	}
	left := r.deadline.Sub(r.g.clock.Now())
	return galenastair.Refuse(galenastair.ErrOverloaded, retryAfter(min(c.Wait, left/3)), c.Reason)
}

// tooLate refuses a request that can't be served in its time. It is made for an
// overload of engines: prompts wait longer than their callers, so each that is sent all
// the same is read in vain and makes the next ones late as well.
func (r *run) tooLate(now time.Time, c pool.Choice) error {
	left := r.deadline.Sub(now)
	if c.Foretold < left || r.sends > 0 || r.call.Hints.Model == "" {
		return nil
	}
	return galenastair.Refuse(galenastair.ErrOverloaded, retryAfter(min(c.Foretold-left/2, left/3)), "queues are longer than its time")
}

// place asks the planner for a place for the request's model or adapter, and waits for
// it where the time suffices.
func (r *run) place(ctx context.Context) error {
	name := r.call.Hints.Model
	r.needed++
	if r.needed > mostNeeds {
		return galenastair.Refuse(galenastair.ErrNoBackendServer, retryAdapter, "its place was gone")
	}
	promise, err := r.g.placement.Need(ctx, name)
	if err != nil {
		r.g.logger.Log("event", "need", "request", r.call.ID, "model", name, "err", err)
		return galenastair.Refuse(galenastair.ErrNoBackendServer, retryAdapter, "the planner can't be asked")
	}
	left := r.deadline.Sub(r.g.clock.Now())
	r.g.logger.Log("event", "need", "request", r.call.ID, "model", name, "server", promise.Server, "ready", promise.Ready, "left", left)
	if promise.Server == "" {
		return galenastair.Refuse(galenastair.ErrNoBackendServer, min(max(retryModel, promise.Ready), left/3), "no copy is there or coming")
	}
	if promise.Ready > left-serveMargin {
		return galenastair.Refuse(galenastair.ErrNoBackendServer, min(promise.Ready, left/3), "its copy comes too late")
	}
	if !timer.Wait(ctx, promise.Ready) {
		return context.Cause(ctx)
	}
	r.g.pool.AddModel(r.g.clock.Now(), promise.Server, name)
	return nil
}
