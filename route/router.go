package route

import (
	"math/rand/v2"
	"slices"
	"time"

	"galenastair"
)

// Router knows the backend servers, what is ready on them and how they fare.
type Router struct {
	rng      *rand.Rand
	servers  map[galenastair.BackendServerID]*server
	list     []*server
	copies   map[galenastair.ModelName][]*server
	index    *index
	reviewed time.Time
	scratch  []float64
	fit      []*server
}

// New returns a router that knows no backend server; its draws come from rng.
func New(rng *rand.Rand) *Router {
	return &Router{
		rng:     rng,
		servers: map[galenastair.BackendServerID]*server{},
		copies:  map[galenastair.ModelName][]*server{},
		index:   newIndex(),
	}
}

// SetServers follows the platform's list; own in-flight counts of those that stay are kept.
func (r *Router) SetServers(now time.Time, list []Server) {
	present := make(map[galenastair.BackendServerID]bool, len(list))
	for _, l := range list {
		present[l.ID] = true
		s := r.servers[l.ID]
		if s == nil {
			s = &server{window: window{limit: firstWindow}, reported: now}
			r.servers[l.ID] = s
			r.list = append(r.list, s)
		}
		if l.Leaving && !s.Leaving {
			s.leaves = now
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

// Report takes in what an engine said about itself.
func (r *Router) Report(now time.Time, rep galenastair.EngineReport) {
	s := r.servers[rep.BackendServer]
	if s == nil {
		return
	}
	s.others = max(0, float64(rep.Running+rep.Waiting-s.inFlight))
	s.reported = now.Add(-rep.Age)
	s.window.follow(rep)
	ready := make([]galenastair.ModelName, 0, len(rep.Loaded))
	for _, l := range rep.Loaded {
		if l.State == galenastair.Ready {
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

// CacheEvents takes in what an engine cached and dropped; gaps need no care, as
// the index is only a guess that own sends renew and generations forget.
func (r *Router) CacheEvents(id galenastair.BackendServerID, events []galenastair.CacheEvent) {
	s := r.servers[id]
	if s == nil {
		return
	}
	for _, e := range events {
		if e.Dropped {
			r.index.remove(e.Prefix, s)
			continue
		}
		r.index.add(e.Prefix, s)
	}
}

// Loaded returns the models and adapters ready on a backend server; the caller must not change it.
func (r *Router) Loaded(id galenastair.BackendServerID) []galenastair.ModelName {
	if s := r.servers[id]; s != nil {
		return s.loaded
	}
	return nil
}

// HasRoom says whether a backend server may be sent one more request now.
func (r *Router) HasRoom(id galenastair.BackendServerID) bool {
	s := r.servers[id]
	return s != nil && !s.Leaving && !s.health.out && s.room(false)
}

// Known says whether any backend server that may take new work has a ready copy of the model.
func (r *Router) Known(now time.Time, m galenastair.ModelName, exclude []galenastair.BackendServerID) bool {
	for _, s := range r.copies[m] {
		if (!s.Leaving || s.mayServeLast(now)) && !slices.Contains(exclude, s.ID) {
			return true
		}
	}
	return false
}
