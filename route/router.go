package route

import (
	"math/rand/v2"
	"slices"
	"time"

	"galenastair"
)

// Router tracks the backend servers, the models that are ready on them, and their health.
type Router struct {
	rng         *rand.Rand
	servers     map[galenastair.BackendServerID]*server
	list        []*server
	copies      map[galenastair.ModelName][]*server
	index       *index
	reviewed    time.Time
	slownessBuf []float64
	candidates  []*server
}

// New returns a router without backend servers that takes random numbers from rng.
func New(rng *rand.Rand) *Router {
	return &Router{
		rng:     rng,
		servers: map[galenastair.BackendServerID]*server{},
		copies:  map[galenastair.ModelName][]*server{},
		index:   newIndex(),
	}
}

// SetServers replaces the list of backend servers and keeps the state of those that remain.
func (r *Router) SetServers(now time.Time, list []Server) {
	present := make(map[galenastair.BackendServerID]bool, len(list))
	for _, l := range list {
		present[l.ID] = true
		s := r.servers[l.ID]
		if s == nil {
			s = &server{window: window{limit: initialWindow}, reportedAt: now}
			r.servers[l.ID] = s
			r.list = append(r.list, s)
		}
		if l.Leaving && !s.Leaving {
			s.leavingSince = now
		}
		s.Server = l
	}
	for id, s := range r.servers {
		if !present[id] {
			r.remove(s)
		}
	}
}

func (r *Router) remove(s *server) {
	r.setLoaded(s, nil)
	delete(r.servers, s.ID)
	r.list = slices.DeleteFunc(r.list, func(o *server) bool { return o == s })
}

// ApplyReport applies an engine's report of its state.
func (r *Router) ApplyReport(now time.Time, rep galenastair.EngineReport) {
	s := r.servers[rep.BackendServer]
	if s == nil {
		return
	}
	s.otherLoad = max(0, float64(rep.Running+rep.Waiting-s.inFlight))
	s.reportedAt = now.Add(-rep.Age)
	s.window.applyReport(rep)
	ready := make([]galenastair.ModelName, 0, len(rep.Loaded))
	for _, l := range rep.Loaded {
		if l.State == galenastair.LoadStateReady {
			ready = append(ready, l.Weight.Name)
		}
	}
	slices.Sort(ready)
	ready = slices.Compact(ready)
	if !slices.Equal(ready, s.loaded) {
		r.setLoaded(s, ready)
	}
}

func (r *Router) setLoaded(s *server, ready []galenastair.ModelName) {
	for _, m := range s.loaded {
		r.copies[m] = slices.DeleteFunc(r.copies[m], func(o *server) bool { return o == s })
		if len(r.copies[m]) == 0 {
			delete(r.copies, m)
		}
	}
	s.loaded = ready
	for _, m := range ready {
		r.copies[m] = append(r.copies[m], s)
	}
}

// ApplyCacheEvents applies an engine's additions to and evictions from its prefix cache. Lost
// events need no handling: the index is an estimate that requests update and whose old
// entries are deleted.
func (r *Router) ApplyCacheEvents(id galenastair.BackendServerID, events []galenastair.CacheEvent) {
	s := r.servers[id]
	if s == nil {
		return
	}
	for _, e := range events {
		if e.Evicted {
			r.index.remove(e.Prefix, s)
			continue
		}
		r.index.add(e.Prefix, s)
	}
}

// Loaded returns the models and adapters that are ready on a backend server. The caller must
// not modify the slice.
func (r *Router) Loaded(id galenastair.BackendServerID) []galenastair.ModelName {
	if s := r.servers[id]; s != nil {
		return s.loaded
	}
	return nil
}

// HasCapacity reports whether one more request may be sent to a backend server now.
func (r *Router) HasCapacity(id galenastair.BackendServerID) bool {
	s := r.servers[id]
	return s != nil && !s.Leaving && !s.health.ejected && s.hasCapacity(false)
}

// HasCopy reports whether any backend server that accepts new requests has a ready copy of the
// model.
func (r *Router) HasCopy(now time.Time, m galenastair.ModelName, exclude []galenastair.BackendServerID) bool {
	for _, s := range r.copies[m] {
		if (!s.Leaving || s.inLeavingGrace(now)) && !slices.Contains(exclude, s.ID) {
			return true
		}
	}
	return false
}
