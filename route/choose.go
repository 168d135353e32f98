package route

import (
	"time"

	"galenastair"
)

// affinityLoadFactor is the load, relative to the mean of the copies, up to which a backend
// server is chosen for its cached prefix. A cached prefix saves part of one prefill. Without
// a bound, all requests with one template would queue at one copy while the others idle.
const affinityLoadFactor = 1.25

// affinitySlack is added to the bound, in requests, as the mean is below one at low load and
// affinity would have no effect there.
const affinitySlack = 1

// Query holds the properties of a request that the choice depends on.
type Query struct {
	Model        galenastair.ModelName
	PrefixHashes []uint64
	Exclude      []galenastair.BackendServerID
	// WithinShare permits slots beyond the window, which are reserved for organisations within
	// their share.
	WithinShare bool
}

// Decision is a chosen backend server and the reason for the choice.
type Decision struct {
	Server  galenastair.BackendServerID
	Address string
	Reason  Reason
	// CachedBlocks is the number of leading blocks of the prompt that are probably cached there.
	CachedBlocks int
}

// Choose picks a backend server with capacity, and returns false if none has any. Its cost
// grows with the number of copies of the model, not with that of the backend servers.
func (r *Router) Choose(now time.Time, q Query) (Decision, bool) {
	r.candidates = r.candidates[:0]
	var sum, n float64
	var fallback, leaving *server
	for _, s := range r.copies[q.Model] {
		if excluded(q.Exclude, s.ID) {
			continue
		}
		if s.Leaving {
			if s.inLeavingGrace(now) {
				leaving = s
			}
			continue
		}
		if s.health.ejected {
			if s.health.mayProbe(now) {
				return r.startProbe(s, q)
			}
			if fallback == nil || s.inFlight < fallback.inFlight {
				fallback = s
			}
			continue
		}
		sum += s.load(now)
		n++
		if s.hasCapacity(q.WithinShare) {
			r.candidates = append(r.candidates, s)
		}
	}
	if len(r.candidates) == 0 {
		if fallback == nil {
			fallback = leaving
		}
		return r.lastResort(q, fallback)
	}
	if len(r.candidates) == 1 {
		return r.decide(r.candidates[0], q, OnlyCopy), true
	}
	if s := r.cachedCandidate(now, q, sum/n); s != nil {
		return r.decide(s, q, PrefixAffinity), true
	}
	return r.decide(r.betterOfTwo(now), q, BetterOfTwo), true
}

// startProbe sends a single request to a backend server whose ejection time is over.
func (r *Router) startProbe(s *server, q Query) (Decision, bool) {
	s.health.probing = true
	return r.decide(s, q, Probe), true
}

// lastResort chooses a backend server that is ejected, or has just begun to leave, if no
// other one has a copy. A slow response is better than none, and the ejection may have been
// a mistake.
func (r *Router) lastResort(q Query, fallback *server) (Decision, bool) {
	if fallback == nil || !fallback.hasCapacity(q.WithinShare) || r.healthyCopy(q) {
		return Decision{}, false
	}
	reason := NoneHealthy
	if fallback.Leaving {
		reason = LastCopy
	}
	return r.decide(fallback, q, reason), true
}

func (r *Router) healthyCopy(q Query) bool {
	for _, s := range r.copies[q.Model] {
		if !s.Leaving && !s.health.ejected && !excluded(q.Exclude, s.ID) {
			return true
		}
	}
	return false
}

func (r *Router) cachedCandidate(now time.Time, q Query, mean float64) *server {
	hs, n := r.index.longest(q.PrefixHashes)
	if n == 0 {
		return nil
	}
	for _, s := range hs {
		if s == nil || !contains(r.candidates, s) {
			continue
		}
		if s.load(now) <= affinityLoadFactor*mean+affinitySlack {
			return s
		}
	}
	return nil
}

// betterOfTwo returns the less loaded of two random candidates. If several instances with
// outdated reports all chose the least loaded one, they would send a burst to the same
// backend server.
func (r *Router) betterOfTwo(now time.Time) *server {
	i := r.rng.IntN(len(r.candidates))
	j := r.rng.IntN(len(r.candidates) - 1)
	if j >= i {
		j++
	}
	a, b := r.candidates[i], r.candidates[j]
	if b.load(now) < a.load(now) {
		return b
	}
	return a
}

func (r *Router) decide(s *server, q Query, reason Reason) Decision {
	return Decision{s.ID, s.Address, reason, r.index.match(q.PrefixHashes, s)}
}

// Assign returns the decision for a waiting request that gets a freed slot of a given backend
// server.
func (r *Router) Assign(id galenastair.BackendServerID, q Query) Decision {
	return r.decide(r.servers[id], q, SlotFreed)
}

func excluded(ids []galenastair.BackendServerID, id galenastair.BackendServerID) bool {
	for _, e := range ids {
		if e == id {
			return true
		}
	}
	return false
}

func contains(list []*server, s *server) bool {
	for _, o := range list {
		if o == s {
			return true
		}
	}
	return false
}
