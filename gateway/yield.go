package gateway

import (
	"context"
	"time"

	"galenastair"
	"galenastair/admission"
	"galenastair/pool"
)

// yield returns the server to which the request may be sent now, as far as more urgent requests of its
// service are concerned: the best one, or another one if all instances would choose that. If its ID is
// empty, the request has waited for a moment and a server has to be chosen again, as the loads have
// changed. A request that waits holds no connection to a backend server, and was not sent before.
func (r *activeRequest) yield(ctx context.Context, now time.Time, best pool.Choice) (pool.Choice, error) {
	if r.g.admission == nil || r.admitted || r.sends > 0 || best.Reason != pool.ReasonLowestLatency {
		return best, nil
	}
	if r.ticket == nil {
		r.ticket = r.g.admission.Arrive(now, r.admissionRequest())
	}
	candidate := r.candidate(now, best)
	decision := r.ticket.Decide(now, r.forecast(candidate), r.forecast(best))
	if r.g.admissionDryRun {
		r.admitted = true
		r.ticket.Leave()
		if decision.Action != admission.Send {
			r.logYield(now, best, decision)
		}
		return best, nil
	}
	if r.g.settings.Draining() && decision.Action == admission.Wait {
		decision = admission.Decision{Action: admission.Send, Reason: admission.ReasonStopping, Best: true}
	}
	switch decision.Action {
	case admission.Refuse:
		r.endYield(now, best, decision)
		return pool.Choice{}, galenastair.NewRefusal(galenastair.ErrOverloaded, decision.RetryAfter, string(decision.Reason))
	case admission.Wait:
		if r.yieldedAt.IsZero() {
			r.yieldedAt = now
		}
		return pool.Choice{}, r.awaitTurn(ctx, decision.Recheck)
	}
	if decision.Best {
		candidate = best
	}
	if !r.yieldedAt.IsZero() {
		r.endYield(now, candidate, decision)
	}
	r.admitted = true
	return candidate, nil
}

// candidate returns the server for which the request is evaluated.
func (r *activeRequest) candidate(now time.Time, best pool.Choice) pool.Choice {
	if !r.ticket.Spread(now) {
		return best
	}
	q := r.poolQuery()
	q.Spread = true
	if c, ok := r.g.pool.Choose(now, q); ok && c.Reason == pool.ReasonLowestLatency {
		return c
	}
	return best
}

// awaitTurn waits until the request should be evaluated again.
func (r *activeRequest) awaitTurn(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-r.ticket.Wake():
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

func (r *activeRequest) admissionRequest() admission.Request {
	req := admission.Request{
		Service:       r.service,
		Model:         r.req.Hints.Model,
		Arrived:       r.startedAt,
		Deadline:      r.deadline,
		TargetLatency: r.admission.route.TargetLatency,
		Priority:      r.admission.level,
		Digest:        r.digest,
	}
	if current, _ := r.g.catalogSource.Current(); current != nil && req.TargetLatency > 0 && req.Model != "" {
		req.UrgentTarget, req.UrgentLevels = current.MoreUrgent(r.service, r.admission.route.Priority)
	}
	if o := r.admission.organisation; o != nil {
		req.Organisation, req.Rate = o.Name, o.Rate
	}
	return req
}

func (r *activeRequest) forecast(c pool.Choice) admission.Forecast {
	f := admission.Forecast{PredictedLatency: c.PredictedLatency, QueueTime: c.QueueTime, Server: c.ID, Slots: 1, Instances: r.g.settings.FleetSize()}
	if r.req.Hints.Model == "" {
		f.Slots = c.Slots
	}
	f.Stale = r.g.settings.LoadsCurrent != nil && !r.g.settings.LoadsCurrent()
	return f
}

func (r *activeRequest) endYield(now time.Time, c pool.Choice, d admission.Decision) {
	waited := time.Duration(0)
	if !r.yieldedAt.IsZero() {
		waited = now.Sub(r.yieldedAt)
	}
	r.g.recorder.Yielded(d, waited)
	r.logYield(now, c, d)
}

func (r *activeRequest) logYield(now time.Time, c pool.Choice, d admission.Decision) {
	r.g.logger.Log("event", "yield", "request", r.req.ID, "organisation", r.admission.organisationName(), "server", c.ID, "action", d.Action, "reason", d.Reason, "priority", r.admission.level,
		"foretold", c.PredictedLatency, "waited", now.Sub(r.startedAt), "left", r.deadline.Sub(now), "retry_after", d.RetryAfter, "returning", r.ticket.Returning(), "log_only", r.g.admissionDryRun)
}

// leaveQueue ends the request's wait, whatever its outcome.
func (r *activeRequest) leaveQueue() {
	if r.ticket != nil {
		r.ticket.Leave()
	}
}

// notifyWaiting has a waiting request evaluated again, as an attempt has ended.
func (r *activeRequest) notifyWaiting() {
	if r.g.admission != nil {
		r.g.admission.Ended(r.service, r.req.Hints.Model)
	}
}
