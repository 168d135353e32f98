package planner

import (
	"math"
	"strings"
	"time"

	"galenastair"
	"galenastair/place"
)

const (
	// usedLately keeps an adapter from being dropped for another while its callers
	// still come, or their streams still run.
	usedLately = 4 * time.Second
	// copyShare is the part of one engine's share of a model's work from which an
	// adapter gets a further copy: below it, the callers of one adapter do not crowd
	// the engine that holds it.
	copyShare = 0.6
	// leastWork is the part of an engine's time to which the demand of one request has
	// faded after some fifteen seconds.
	leastWork = 0.00005
	// fetchedAtOnce is how many adapters an engine takes on their way together.
	fetchedAtOnce = 4
)

// splitName splits an adapter's name into its model and its own.
func splitName(name galenastair.ModelName) (galenastair.ModelName, string) {
	model, adapter, _ := strings.Cut(string(name), "/")
	return galenastair.ModelName(model), adapter
}

// engineForAdapter picks where an adapter is loaded: the least busy engine that holds
// its model and has a place, or else one with an adapter that nobody uses. The second
// result is the adapter to drop first, if any.
func (s *site) engineForAdapter(now time.Time, name galenastair.ModelName) (*engine, galenastair.ModelName) {
	model, _ := splitName(name)
	var best *engine
	var drop galenastair.ModelName
	least := math.Inf(1)
	for _, e := range s.engines {
		if !e.ready(model) || e.adapters[name] != nil || e.unsure || e.moving() {
			continue
		}
		victim, ok := s.placeFor(now, e)
		if !ok {
			continue
		}
		load := s.load(e)
		if victim != "" {
			// an empty place is worth some requests more on the engine
			load += 4000
		}
		if load < least {
			best, drop, least = e, victim, load
		}
	}
	return best, drop
}

// placeFor says whether an engine has a place for one more adapter, and which adapter
// makes way where all are taken: the one unused for longest, but not the last copy of
// one that is used.
func (s *site) placeFor(now time.Time, e *engine) (galenastair.ModelName, bool) {
	if len(e.adapters) < s.contents.engine.AdapterPlaces {
		return "", true
	}
	var victim galenastair.ModelName
	var oldest time.Time
	for name, it := range e.adapters {
		if it.state != place.Ready || now.Sub(it.used) < usedLately {
			continue
		}
		if s.forecast.Work(name) > 0 && s.adapterCopies(name) < 2 && now.Sub(it.used) < 2*usedLately {
			continue
		}
		if victim == "" || it.used.Before(oldest) {
			victim, oldest = name, it.used
		}
	}
	return victim, victim != ""
}

func (s *site) adapterCopies(name galenastair.ModelName) int {
	if s.index != nil {
		return s.index.adapters[name]
	}
	n := 0
	for _, e := range s.engines {
		if e.adapters[name] != nil && s.preferred(e) {
			n++
		}
	}
	return n
}

// loadAdapter orders an adapter and returns who waits for it; nil if no engine can take it now.
func (s *site) loadAdapter(now time.Time, name galenastair.ModelName, why place.Reason) (*engine, *waiters) {
	e, drop := s.engineForAdapter(now, name)
	if e == nil {
		return nil, nil
	}
	if drop != "" {
		m, a := splitName(drop)
		e.add(now, task{kind: galenastair.UnloadModel, model: m, adapter: a, reason: place.MakeRoom})
		s.index.moved(drop, -1)
	}
	m, a := splitName(name)
	done := e.add(now, task{kind: galenastair.LoadModel, model: m, adapter: a, reason: why})
	s.index.moved(name, 1)
	return e, done
}

// spreadAdapters gives adapters that are asked for a first copy, and busy ones more,
// as long as places are empty: the callers of a busy adapter would else all wait at
// one engine while others with the same model idle.
func (s *site) spreadAdapters(now time.Time) {
	for _, m := range s.contents.models {
		if m.Adapters == 0 {
			continue
		}
		copies := s.modelCopies(m.Name)
		if copies == 0 {
			continue
		}
		total := s.workOf(m)
		for name, work := range s.adapterWork(m) {
			have := s.adapterCopies(name)
			want := int(math.Ceil(work / (copyShare * total / float64(copies))))
			if have >= min(want, copies) || work < leastWork {
				continue
			}
			if s.emptyPlace(m.Name, name) {
				s.loadAdapter(now, name, place.Adapter)
			}
		}
	}
}

// preloadAtOnce bounds the adapters that one round fetches ahead of demand: well below
// what the weight store serves at full speed, so that those that callers wait for come
// first.
const preloadAtOnce = 6

// preloadAdapters gives each adapter a copy while places are empty, asked for or not.
// Callers then find it also while nobody plans, which lasts some seconds each time that
// the planner dies.
func (s *site) preloadAdapters(now time.Time) {
	left := preloadAtOnce
	for _, m := range s.contents.models {
		for _, name := range s.contents.adapters[m.Name] {
			if left <= 0 {
				return
			}
			if s.adapterCopies(name) > 0 || !s.emptyPlace(m.Name, name) {
				continue
			}
			if e, _ := s.loadAdapter(now, name, place.Spare); e != nil {
				left--
			}
		}
	}
}

func (s *site) emptyPlace(m, name galenastair.ModelName) bool {
	for _, e := range s.index.ready[m] {
		if e.adapters[name] == nil && len(e.adapters) < s.contents.engine.AdapterPlaces && len(e.tasks) < fetchedAtOnce {
			return true
		}
	}
	return false
}
