package route

import (
	"time"

	"galenastair"
)

// Sent counts a request that goes to a backend server now.
func (r *Router) Sent(now time.Time, id galenastair.BackendServerID, prefix []uint64) {
	s := r.servers[id]
	if s == nil {
		return
	}
	s.inFlight++
	s.window.note(s.inFlight)
	s.health.sent(now)
	for _, h := range prefix {
		r.index.add(h, s)
	}
}

// FirstToken tells how long the first token of a request took.
func (r *Router) FirstToken(now time.Time, id galenastair.BackendServerID, took time.Duration, prompt galenastair.Tokens) {
	s := r.servers[id]
	if s == nil {
		return
	}
	s.health.firstToken(now, took, int64(prompt))
	s.window.firstToken(took, nominal(prompt), s.health.gap)
	if s.health.probing {
		s.health.putBack()
	}
}

// End is how a request at a backend server ended.
type End struct {
	// Answered says that a first token had come.
	Answered bool
	// Failed says that the backend server broke the request off.
	Failed bool
	// Gap is the mean time between tokens, zero if unknown.
	Gap time.Duration
}

// Done counts a request that has ended.
func (r *Router) Done(now time.Time, id galenastair.BackendServerID, e End) {
	s := r.servers[id]
	if s == nil {
		return
	}
	s.inFlight = max(0, s.inFlight-1)
	if !e.Answered {
		s.health.progress(now)
	}
	s.window.gap(e.Gap)
	s.health.between(e.Gap)
	if !e.Failed {
		// a caller that gave up on a probe says nothing about the backend server
		s.health.probing = false
		return
	}
	s.health.failures++
	if s.health.probing {
		s.health.takeOut(now)
	}
}
