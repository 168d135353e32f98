package gateway

import (
	"cmp"
	"context"
	"time"

	"galenastair"
	"galenastair/permit"
	"galenastair/pool"
)

// Permits bounds the requests in flight at brittle backend servers, over all instances.
type Permits interface {
	// Acquire waits for a permit. If there is one, release must be called at the end of the request: with
	// the number of requests per second that the server can decline if it has declined this one, and else 0.
	Acquire(ctx context.Context, r permit.Request) (d permit.Decision, release func(declineLimit float64))
}

const (
	// defaultPermitWait bounds the wait for a permit on a route without a target latency.
	defaultPermitWait = time.Second
	// maxPermitRequests is the number of backend servers for which one request asks for a permit. If none of
	// them has one, probably all are full.
	maxPermitRequests = 4
)

// awaitPermit waits for a permit if the backend server is brittle: it fails if it has to decline more than
// a few requests. If there is none in time, the server is excluded from the next choice.
func (r *activeRequest) awaitPermit(ctx context.Context, c pool.Choice) (pool.Choice, error) {
	if c.MaxInFlight == 0 {
		return c, nil
	}
	start := r.g.clock.Now()
	maxWait := r.permitWait(start)
	decision, release := r.g.permits.Acquire(ctx, permit.Request{Server: c.ID, Limit: c.MaxInFlight, MaxWait: maxWait})
	now := r.g.clock.Now()
	r.g.logger.Log("event", "permit", "request", r.req.ID, "server", c.ID, "limit", c.MaxInFlight, "granted", release != nil, "waited", now.Sub(start), "delay", decision.Delay)
	if release == nil {
		if ctx.Err() != nil {
			return pool.Choice{}, context.Cause(ctx)
		}
		r.g.pool.Throttle(now, c.ID, decision.Delay-maxWait)
		if r.permitRequests++; r.permitRequests >= maxPermitRequests {
			retryAfter := min(decision.Delay, r.deadline.Sub(now)/3)
			return pool.Choice{}, galenastair.NewRefusal(galenastair.ErrOverloaded, clampRetryAfter(retryAfter), "no permit for a brittle backend server")
		}
		return pool.Choice{}, nil
	}
	if !r.g.pool.Usable(now, c.ID) {
		release(0)
		return pool.Choice{}, nil
	}
	r.release = release
	return c, nil
}

// permitWait returns how long the request may wait for a permit: for the target latency of its route, over all
// servers.
func (r *activeRequest) permitWait(now time.Time) time.Duration {
	if r.permitWaitEnd.IsZero() {
		r.permitWaitEnd = now.Add(min(cmp.Or(r.admission.route.TargetLatency, defaultPermitWait), r.deadline.Sub(now)/2))
	}
	return max(0, r.permitWaitEnd.Sub(now))
}

// releasePermit returns the permit of the attempt that has ended, if it had one.
func (r *activeRequest) releasePermit(declineLimit float64) {
	if r.release != nil {
		r.release(declineLimit)
		r.release = nil
	}
}
