package route

import (
	"time"

	"galenastair"
)

// Sent records that a request is sent to a backend server.
func (r *Router) Sent(now time.Time, id galenastair.BackendServerID, prefix []uint64) {
	s := r.servers[id]
	if s == nil {
		return
	}
	s.inFlight++
	s.window.recordSent(s.inFlight)
	s.health.sent(now)
	for _, h := range prefix {
		r.index.add(h, s)
	}
}

// FirstToken records the time that the first token of a request took.
func (r *Router) FirstToken(now time.Time, id galenastair.BackendServerID, took time.Duration, prompt galenastair.Tokens) {
	s := r.servers[id]
	if s == nil {
		return
	}
	s.health.addFirstToken(now, took, int64(prompt))
	s.window.applyFirstToken(took, nominal(prompt), s.health.interTokenLatency)
	if s.health.probing {
		s.health.uneject()
	}
}

// Result describes how a request at a backend server ended.
type Result struct {
	// Answered reports whether a first token had arrived.
	Answered bool
	// Failed reports whether the backend server aborted the request.
	Failed bool
	// InterTokenLatency is the mean time between tokens, zero if unknown.
	InterTokenLatency time.Duration
}

// Done records the end of a request.
func (r *Router) Done(now time.Time, id galenastair.BackendServerID, res Result) {
	s := r.servers[id]
	if s == nil {
		return
	}
	s.inFlight = max(0, s.inFlight-1)
	if !res.Answered {
		s.health.progress(now)
	}
	s.window.applyInterTokenLatency(res.InterTokenLatency)
	s.health.addInterTokenLatency(res.InterTokenLatency)
	if !res.Failed {
		// A probe that its caller cancelled does not show whether the backend server is healthy.
		s.health.probing = false
		return
	}
	s.health.failures++
	if s.health.probing {
		s.health.eject(now)
	}
}
