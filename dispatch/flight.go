package dispatch

import (
	"time"

	"galenastair"
	"galenastair/route"
)

// Cancel removes a request whose caller went away before it was granted.
func (s *Scheduler) Cancel(t *Ticket) {
	if s.tickets[&t.item] == nil {
		return
	}
	s.model(t.Request.Model).queue.Remove(&t.item)
	s.removeQueued(&t.item)
	t.state = ended
}

// Expire refuses the waiting requests of a model whose deadline has passed, and all of them
// if no copy of the model has been ready for noCopyTimeout.
func (s *Scheduler) Expire(now time.Time, name galenastair.ModelName) {
	m := s.modelStates[name]
	if m == nil {
		return
	}
	s.refuseAll(now, m.queue.Expire(now))
	if m.noCopySince.IsZero() || now.Sub(m.noCopySince) < noCopyTimeout || s.router.HasCopy(now, name, nil) {
		return
	}
	s.refuseAll(now, m.queue.Clear(galenastair.ErrNoBackendServer, noCopyRetryAfter))
}

// FirstToken records the arrival of the first token of a granted request.
func (s *Scheduler) FirstToken(now time.Time, t *Ticket) {
	if t.state != running || !t.firstTokenAt.IsZero() {
		return
	}
	s.firstToken(now, t, now.Sub(t.grantedAt))
	// The first token may have enlarged the window. Without this call the new slots would
	// stay empty until a running request ends, seconds later.
	s.dispatchServer(now, t.server)
}

func (s *Scheduler) firstToken(now time.Time, t *Ticket, took time.Duration) {
	t.firstTokenAt = t.grantedAt.Add(took)
	s.router.FirstToken(now, t.server, took, t.Request.PromptTokens)
}

// Done records the end of a granted request and reuses its slot.
func (s *Scheduler) Done(now time.Time, t *Ticket, res Result) {
	if t.state != running {
		return
	}
	if t.firstTokenAt.IsZero() && res.TimeToFirstToken > 0 {
		s.firstToken(now, t, res.TimeToFirstToken)
	}
	t.state = ended
	m := s.model(t.Request.Model)
	m.queue.Refund(t.Request.Organisation, t.Request.OutputTokens-res.OutputTokens)
	m.demand.OutputTokens += res.OutputTokens
	s.router.Done(now, t.server, route.Result{
		Answered:          !t.firstTokenAt.IsZero(),
		Failed:            res.Failed,
		InterTokenLatency: interTokenLatency(now, t, res),
	})
	s.router.DetectOutliers(now)
	s.dispatchServer(now, t.server)
}

func interTokenLatency(now time.Time, t *Ticket, res Result) time.Duration {
	if t.firstTokenAt.IsZero() || res.OutputTokens < 2 {
		return 0
	}
	return now.Sub(t.firstTokenAt) / time.Duration(res.OutputTokens-1)
}

// SetServers replaces the list of model engines.
func (s *Scheduler) SetServers(now time.Time, list []Server) {
	s.router.SetServers(now, list)
	present := make(map[galenastair.BackendServerID]bool, len(list))
	for _, srv := range list {
		present[srv.ID] = true
	}
	for id := range s.serverShares {
		if !present[id] {
			delete(s.serverShares, id)
		}
	}
}

// ApplyReport applies an engine's report of its state, and uses the capacity that it shows.
func (s *Scheduler) ApplyReport(now time.Time, r galenastair.EngineReport) {
	s.router.ApplyReport(now, r)
	s.router.DetectOutliers(now)
	s.dispatchServer(now, r.BackendServer)
}

// ApplyCacheEvents applies an engine's additions to and evictions from its prefix cache.
func (s *Scheduler) ApplyCacheEvents(id galenastair.BackendServerID, events []galenastair.CacheEvent) {
	s.router.ApplyCacheEvents(id, events)
}

// Unhealthy returns the backend servers that remain slow, failing or silent. Placement loads
// copies of their models on other ones.
func (s *Scheduler) Unhealthy(now time.Time) []galenastair.BackendServerID {
	s.router.DetectOutliers(now)
	return s.router.Unhealthy()
}
