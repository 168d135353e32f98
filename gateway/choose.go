package gateway

import (
	"context"
	"time"

	"galenastair"
	"galenastair/pool"
	"galenastair/timer"
)

const (
	// maxPlacementRequests bounds how often one request asks the planner for a backend
	// server: once, and once more if that server no longer held the model.
	maxPlacementRequests = 2
	// responseMargin is the part of the remaining time that is reserved for the response
	// when a request waits for a model to load.
	responseMargin = 400 * time.Millisecond
	// minModelRetryAfter is the shortest Retry-After for a model that no backend server holds.
	minModelRetryAfter = 1500 * time.Millisecond
	// adapterRetryAfter is the Retry-After when the planner can't be reached or its promised
	// copy is gone. A new leader, which runs the planner, is elected within a few seconds,
	// and an adapter slot is freed sooner.
	adapterRetryAfter = 600 * time.Millisecond
	// noServerRetryAfter is the Retry-After for a service without any backend server.
	noServerRetryAfter = time.Second
)

// chooseServer picks the backend server of the next attempt. A choice with an empty ID means
// that the state of the pool has changed and the caller should try again.
func (r *activeRequest) chooseServer(ctx context.Context) (pool.Choice, error) {
	if err := ctx.Err(); err != nil {
		return pool.Choice{}, context.Cause(ctx)
	}
	now := r.g.clock.Now()
	versionsChanged := r.g.streams.VersionsChanged()
	choice, ok := r.g.pool.Choose(now, r.poolQuery())
	if ok {
		choice, err := r.yield(ctx, now, choice)
		if err != nil || choice.ID == "" {
			return pool.Choice{}, err
		}
		if err := r.checkQueueTime(now, choice); err != nil {
			return choice, err
		}
		choice, err = r.awaitLimit(ctx, now, choice)
		if err != nil || choice.ID == "" {
			return choice, err
		}
		return r.awaitPermit(ctx, choice)
	}
	switch choice.Reason {
	case pool.ReasonThrottled:
		return pool.Choice{}, r.handleThrottled(ctx, choice)
	case pool.ReasonNoServer:
		return choice, galenastair.NewRefusal(galenastair.ErrNoBackendServer, noServerRetryAfter, string(r.service))
	case pool.ReasonNewVersion:
		return pool.Choice{}, r.awaitVersion(ctx, versionsChanged)
	case pool.ReasonNoModel:
		return pool.Choice{}, r.requestPlacement(ctx)
	}
	return choice, galenastair.NewRefusal(galenastair.ErrNoBackendServer, overloadRetryAfter, choice.Reason)
}

// awaitLimit waits for admission to a backend server that advertises a rate limit. If it
// admits no more requests in the time that this one can wait, it is excluded from the next
// choice.
func (r *activeRequest) awaitLimit(ctx context.Context, now time.Time, c pool.Choice) (pool.Choice, error) {
	if c.Limit.PerSecond == 0 {
		return c, nil
	}
	maxWait := max(0, min(r.admission.route.TargetLatency-c.PredictedLatency, r.deadline.Sub(now)/2))
	decision := r.g.limiter.Admit(ctx, c.Limit, maxWait)
	r.g.logger.Log("event", "limit", "request", r.req.ID, "server", c.ID, "limit", c.Limit.PerSecond, "age", c.Limit.Age, "granted", decision.Granted, "wait", decision.Delay)
	if !decision.Granted {
		r.g.pool.Throttle(r.g.clock.Now(), c.ID, decision.Delay-maxWait)
		return pool.Choice{}, nil
	}
	if decision.Delay == 0 {
		return c, nil
	}
	if !timer.Wait(ctx, decision.Delay) {
		return pool.Choice{}, context.Cause(ctx)
	}
	if !r.g.pool.Usable(r.g.clock.Now(), c.ID) {
		return pool.Choice{}, nil
	}
	return c, nil
}

// handleThrottled asks the planner to load the model on another engine, as all that hold it
// are at their rate limits. If none can hold it in time, or the request names no model, it
// returns a refusal whose Retry-After is the time until the first of them admits requests
// again, up to a third of the remaining time.
func (r *activeRequest) handleThrottled(ctx context.Context, c pool.Choice) error {
	if r.req.Hints.Model != "" && r.placementRequests < maxPlacementRequests && r.requestPlacement(ctx) == nil {
		return nil
	}
	remaining := r.deadline.Sub(r.g.clock.Now())
	return galenastair.NewRefusal(galenastair.ErrOverloaded, clampRetryAfter(min(c.RetryAfter, remaining/3)), c.Reason)
}

// checkQueueTime refuses a request that can't be answered before its deadline. When engines
// are overloaded, prompts wait longer than their callers do: without this check engines
// would process prompts whose callers have gone, which delays the following ones as well.
func (r *activeRequest) checkQueueTime(now time.Time, c pool.Choice) error {
	remaining := r.deadline.Sub(now)
	if c.PredictedLatency < remaining || r.sends > 0 || r.req.Hints.Model == "" {
		return nil
	}
	return galenastair.NewRefusal(galenastair.ErrOverloaded, clampRetryAfter(min(c.PredictedLatency-remaining/2, remaining/3)), "expected queue time exceeds the deadline")
}

// requestPlacement asks the planner for a backend server that holds or loads the request's
// model or adapter, and waits until it is loaded if the deadline permits.
func (r *activeRequest) requestPlacement(ctx context.Context) error {
	name := r.req.Hints.Model
	r.placementRequests++
	if r.placementRequests > maxPlacementRequests {
		return galenastair.NewRefusal(galenastair.ErrNoBackendServer, adapterRetryAfter, "the promised copy is gone")
	}
	availability, err := r.g.placement.EnsureLoaded(ctx, name)
	if err != nil {
		r.g.logger.Log("event", "need", "request", r.req.ID, "model", name, "err", err)
		return galenastair.NewRefusal(galenastair.ErrNoBackendServer, adapterRetryAfter, "the planner could not be reached")
	}
	remaining := r.deadline.Sub(r.g.clock.Now())
	r.g.logger.Log("event", "need", "request", r.req.ID, "model", name, "server", availability.Server, "ready", availability.ReadyIn, "left", remaining)
	if availability.Server == "" {
		return galenastair.NewRefusal(galenastair.ErrNoBackendServer, min(max(minModelRetryAfter, availability.ReadyIn), remaining/3), "no copy is loaded or being loaded")
	}
	if availability.ReadyIn > remaining-responseMargin {
		return galenastair.NewRefusal(galenastair.ErrNoBackendServer, min(availability.ReadyIn, remaining/3), "the model would be loaded too late")
	}
	if !timer.Wait(ctx, availability.ReadyIn) {
		return context.Cause(ctx)
	}
	r.g.pool.AddModel(r.g.clock.Now(), availability.Server, name)
	return nil
}
