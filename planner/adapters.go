package planner

import (
	"math"
	"strings"
	"time"

	"galenastair"
	"galenastair/place"
)

const (
	// adapterIdleTime is how long an adapter must be unused before it can be evicted, so that one
	// whose callers still send or whose streams still run stays.
	adapterIdleTime = 4 * time.Second
	// extraCopyShare is the fraction of one engine's share of a model's work from which an adapter
	// gets another copy. Below it, the callers of one adapter do not overload the engine that
	// holds it.
	extraCopyShare = 0.6
	// minAdapterWork is the utilisation to which the demand of a single request decays in about
	// 15 s.
	minAdapterWork = 0.00005
	// maxAdapterQueue bounds the queue of an engine to which adapter loads are added.
	maxAdapterQueue = 4
)

// splitName splits MODEL/ADAPTER into the model and the adapter.
func splitName(name galenastair.ModelName) (galenastair.ModelName, string) {
	model, adapter, _ := strings.Cut(string(name), "/")
	return galenastair.ModelName(model), adapter
}

// engineForAdapter picks the engine that loads an adapter: the least loaded one that holds its
// model and has a free adapter slot or an adapter to evict. The second result is the adapter to
// evict first, if any.
func (s *service) engineForAdapter(now time.Time, name galenastair.ModelName) (*engine, galenastair.ModelName) {
	model, _ := splitName(name)
	var best *engine
	var evict galenastair.ModelName
	least := math.Inf(1)
	for _, e := range s.engines {
		if !e.ready(model) || e.adapters[name] != nil || e.stateUnknown || e.inTransition() {
			continue
		}
		victim, ok := s.adapterSlot(now, e)
		if !ok {
			continue
		}
		load := s.load(e)
		if victim != "" {
			// an empty slot is worth about as much as this many pending prompt tokens
			load += 4000
		}
		if load < least {
			best, evict, least = e, victim, load
		}
	}
	return best, evict
}

// adapterSlot reports whether an engine can take one more adapter, and which adapter to evict if
// all slots are used: the least recently used one, unless it is the last copy of an adapter in
// demand.
func (s *service) adapterSlot(now time.Time, e *engine) (galenastair.ModelName, bool) {
	if len(e.adapters) < s.modelSet.engine.AdapterSlots {
		return "", true
	}
	var victim galenastair.ModelName
	var oldest time.Time
	for name, c := range e.adapters {
		if c.state != place.Ready || now.Sub(c.lastUsed) < adapterIdleTime {
			continue
		}
		if s.forecast.Predict(name) > 0 && s.adapterCopies(name) < 2 && now.Sub(c.lastUsed) < 2*adapterIdleTime {
			continue
		}
		if victim == "" || c.lastUsed.Before(oldest) {
			victim, oldest = name, c.lastUsed
		}
	}
	return victim, victim != ""
}

func (s *service) adapterCopies(name galenastair.ModelName) int {
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

// loadAdapter queues an adapter load and returns its waiters, or nil if no engine can take the
// adapter now.
func (s *service) loadAdapter(now time.Time, name galenastair.ModelName, why place.Reason) (*engine, *waiters) {
	e, evict := s.engineForAdapter(now, name)
	if e == nil {
		return nil, nil
	}
	if evict != "" {
		m, a := splitName(evict)
		e.enqueue(now, queuedOrder{kind: galenastair.UnloadModel, model: m, adapter: a, reason: place.MakeRoom})
		s.index.adjust(evict, -1)
	}
	m, a := splitName(name)
	done := e.enqueue(now, queuedOrder{kind: galenastair.LoadModel, model: m, adapter: a, reason: why})
	s.index.adjust(name, 1)
	return e, done
}

// replicateAdapters gives adapters in demand a first copy, and busy ones more, as long as slots
// are free. Without further copies, all callers of a busy adapter would wait at one engine while
// others with the same model are idle.
func (s *service) replicateAdapters(now time.Time) {
	for _, m := range s.modelSet.models {
		if m.AdapterCount == 0 {
			continue
		}
		copies := s.modelCopies(m.Name)
		if copies == 0 {
			continue
		}
		total := s.workOf(m)
		for name, work := range s.adapterWork(m) {
			have := s.adapterCopies(name)
			want := int(math.Ceil(work / (extraCopyShare * total / float64(copies))))
			if have >= min(want, copies) || work < minAdapterWork {
				continue
			}
			if s.hasFreeSlot(m.Name, name) {
				s.loadAdapter(now, name, place.Adapter)
			}
		}
	}
}

// maxPreloadsPerRound bounds the adapters that a round loads ahead of demand. It is well below
// what the weight store serves at full speed, so that adapters that callers wait for come first.
const maxPreloadsPerRound = 6

// preloadAdapters loads one copy of each adapter while slots are free, whether or not it is in
// demand. Callers then find a copy also while there is no leader, which lasts some seconds each
// time the leader dies.
func (s *service) preloadAdapters(now time.Time) {
	left := maxPreloadsPerRound
	for _, m := range s.modelSet.models {
		for _, name := range s.modelSet.adapters[m.Name] {
			if left <= 0 {
				return
			}
			if s.adapterCopies(name) > 0 || !s.hasFreeSlot(m.Name, name) {
				continue
			}
			if e, _ := s.loadAdapter(now, name, place.Spare); e != nil {
				left--
			}
		}
	}
}

func (s *service) hasFreeSlot(m, name galenastair.ModelName) bool {
	for _, e := range s.index.ready[m] {
		if e.adapters[name] == nil && len(e.adapters) < s.modelSet.engine.AdapterSlots && len(e.queue) < maxAdapterQueue {
			return true
		}
	}
	return false
}
