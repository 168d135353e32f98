package route

import (
	"time"

	"galenastair"
)

// affinityBound is how much more than the mean of the copies a backend server
// may carry and still be chosen for its cache. A cached prefix saves part of one
// prefill; sending everything with one template to one copy would let the others
// idle and the one queue.
const affinityBound = 1.25

// affinitySlack lets affinity act at low load, where the mean is below one.
const affinitySlack = 1

// Query is what the choice depends on.
type Query struct {
	Model   galenastair.ModelName
	Prefix  []uint64
	Exclude []galenastair.BackendServerID
	// Entitled lets the request go beyond the window, into the part kept back for
	// organisations within their share.
	Entitled bool
}

// Decision is a chosen backend server and the reason for it.
type Decision struct {
	Server  galenastair.BackendServerID
	Address string
	Reason  Reason
	// CachedBlocks is how many leading blocks of the prompt are probably cached there.
	CachedBlocks int
}

// Choose picks a backend server with room; false if none has.
//
// Its cost grows with the copies of the one model, not with the fleet.
func (r *Router) Choose(now time.Time, q Query) (Decision, bool) {
	r.fit = r.fit[:0]
	var sum, n float64
	var resting, leaving *server
	for _, s := range r.copies[q.Model] {
		if excluded(q.Exclude, s.ID) {
			continue
		}
		if s.Leaving {
			if s.mayServeLast(now) {
				leaving = s
			}
			continue
		}
		if s.health.out {
			if s.health.mayProbe(now) {
				return r.probe(s, q)
			}
			if resting == nil || s.inFlight < resting.inFlight {
				resting = s
			}
			continue
		}
		sum += s.load(now)
		n++
		if s.room(q.Entitled) {
			r.fit = append(r.fit, s)
		}
	}
	if len(r.fit) == 0 {
		if resting == nil {
			resting = leaving
		}
		return r.lastResort(q, resting)
	}
	if len(r.fit) == 1 {
		return r.decide(r.fit[0], q, OnlyCopy), true
	}
	if s := r.affine(now, q, sum/n); s != nil {
		return r.decide(s, q, PrefixAffinity), true
	}
	return r.decide(r.betterOfTwo(now), q, BetterOfTwo), true
}

// probe lets a single request try a backend server whose rest is over.
func (r *Router) probe(s *server, q Query) (Decision, bool) {
	s.health.probing = true
	return r.decide(s, q, Probe), true
}

// lastResort sends to a backend server that was taken out, or has just begun to
// leave, if no other has a copy: a slow answer is better than none, and the comparison
// may be wrong.
func (r *Router) lastResort(q Query, resting *server) (Decision, bool) {
	if resting == nil || !resting.room(q.Entitled) || r.healthyCopy(q) {
		return Decision{}, false
	}
	why := NoneHealthy
	if resting.Leaving {
		why = LastCopy
	}
	return r.decide(resting, q, why), true
}

func (r *Router) healthyCopy(q Query) bool {
	for _, s := range r.copies[q.Model] {
		if !s.Leaving && !s.health.out && !excluded(q.Exclude, s.ID) {
			return true
		}
	}
	return false
}

func (r *Router) affine(now time.Time, q Query, mean float64) *server {
	hs, n := r.index.longest(q.Prefix)
	if n == 0 {
		return nil
	}
	for _, s := range hs {
		if s == nil || !contains(r.fit, s) {
			continue
		}
		if s.load(now) <= affinityBound*mean+affinitySlack {
			return s
		}
	}
	return nil
}

// betterOfTwo compares two at random: with several entries and late reports, all
// choosing the one least loaded would send a burst to the same backend server.
func (r *Router) betterOfTwo(now time.Time) *server {
	i := r.rng.IntN(len(r.fit))
	j := r.rng.IntN(len(r.fit) - 1)
	if j >= i {
		j++
	}
	a, b := r.fit[i], r.fit[j]
	if b.load(now) < a.load(now) {
		return b
	}
	return a
}

func (r *Router) decide(s *server, q Query, why Reason) Decision {
	return Decision{s.ID, s.Address, why, r.index.match(q.Prefix, s)}
}

// Take chooses a given backend server for a request that waited for its room.
func (r *Router) Take(id galenastair.BackendServerID, q Query) Decision {
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
