package planner

import (
	"time"

	"galenastair"
	"galenastair/catalog"
	"galenastair/forecast"
	"galenastair/place"
	"galenastair/pool"
	"galenastair/speed"
)

const (
	// demandSmoothing is the time constant of the demand forecast. A load takes 2 s, and demand
	// shifts every 5 to 10 s.
	demandSmoothing = 2500 * time.Millisecond
	// rebalanceThreshold is the utilisation of an engine below which no copy is added to relieve
	// it. Prompts arrive in bursts; from about a third on, callers start to wait for each other.
	rebalanceThreshold = 0.3
	// maxImbalanceThreshold is the ratio of an engine's load to the mean load from which a copy is
	// added to relieve it. Engines that share work evenly differ this much for moments. Where loads
	// are short, the ratio is the load time divided by shortLoadTime, the length of such a moment,
	// since a copy that is ready that soon helps at once.
	maxImbalanceThreshold = 2
	shortLoadTime         = 3 * time.Second
	// minGain is the fraction of the busiest engine's load that a move must take off it.
	minGain = 0.12
	// moveCooldown and minCopyLifetime keep oscillating demand from moving the same copies back
	// and forth. A load takes 2 to 3 s.
	moveCooldown    = 1200 * time.Millisecond
	minCopyLifetime = 5 * time.Second
	// idleEvictionThreshold is the utilisation of an engine from which the only copy of an idle
	// model may be unloaded. Above 1, demand exceeds what the engine can serve.
	idleEvictionThreshold = 1.2
	// minDemand is the utilisation that one request every ten seconds or so causes.
	minDemand = 0.01
	// movesPerRound is greater than 1 because a shift in demand needs several copies at once.
	movesPerRound = 3
)

// service holds the engines of one service and their placement plan.
type service struct {
	modelSet *modelSet
	engines  map[galenastair.BackendServerID]*engine
	placer   *place.Planner
	forecast *forecast.Forecast
	loads    loads
	// limits holds the rate limits that engines have advertised.
	limits map[galenastair.BackendServerID]advertisedLimit
	// speeds holds the speed factors of engines.
	speeds *speed.Aggregator
	// leading is set while this instance sends the orders.
	leading bool
	// index is set only during a planning round.
	index *engineIndex
}

func newService(s *catalog.Service) *service {
	return &service{
		modelSet: newModelSet(s),
		engines:  map[galenastair.BackendServerID]*engine{},
		placer:   newPlacer(s.Engine),
		forecast: forecast.New(forecast.WithTimeConstant(demandSmoothing)),
		loads:    loads{},
	}
}

// newPlacer takes the rate of model loads from the configuration. The number of concurrent loads
// is what that rate starts during one load; more would only slow each other down.
func newPlacer(e *catalog.Engine) *place.Planner {
	var longest time.Duration
	for _, m := range e.Models {
		longest = max(longest, m.LoadTime)
	}
	return place.NewPlanner(place.Settings{
		LoadsPerSecond:        e.LoadsPerSecond,
		LoadsInFlight:         max(1, int(e.LoadsPerSecond*longest.Seconds())),
		ServerCapacity:        1,
		RebalanceThreshold:    rebalanceThreshold,
		ImbalanceThreshold:    min(maxImbalanceThreshold, longest.Seconds()/shortLoadTime.Seconds()),
		MinGain:               minGain,
		MoveCooldown:          moveCooldown,
		MinCopyLifetime:       minCopyLifetime,
		MovesPerRound:         movesPerRound,
		MinDemand:             minDemand,
		IdleEvictionThreshold: idleEvictionThreshold,
	})
}

// planRound plans placements and queues the orders.
func (s *service) planRound(now time.Time) {
	in := place.Input{Now: now, Catalogue: s.modelSet.weights, Work: s.work}
	for id, e := range s.engines {
		in.Servers = append(in.Servers, s.input(id, e))
	}
	for _, step := range s.placer.Plan(in) {
		if e := s.engines[step.Server]; e != nil {
			e.enqueue(now, queuedOrder{kind: step.Kind, model: step.Weight.Name, reason: step.Reason})
		}
	}
	s.index = s.newEngineIndex()
	s.replicateAdapters(now)
	s.preloadAdapters(now)
	s.index = nil
}

func (s *service) input(id galenastair.BackendServerID, e *engine) place.Server {
	in := place.Server{
		ID:               id,
		AvailabilityZone: e.server.AvailabilityZone,
		Leaving:          e.server.Leaving,
		Ending:           !e.server.GoneAt.IsZero(),
		RateLimited:      s.isRateLimited(e),
		FreeMemory:       e.freeMemory(s.modelSet),
		SpeedFactor:      s.speedFactor(e),
	}
	in.CachedModels = make(map[galenastair.ModelName]bool, len(e.server.CachedModels))
	for _, name := range e.server.CachedModels {
		in.CachedModels[name] = true
	}
	for name, c := range e.models {
		w := galenastair.ModelWeights{Name: name, Memory: s.modelSet.memory(name)}
		in.Copies = append(in.Copies, place.Copy{Weight: w, State: c.state})
	}
	return in
}

// work returns the demand for a model including its adapters, which run where the model is.
func (s *service) work(name galenastair.ModelName) float64 {
	m := s.modelSet.models[name]
	if m == nil {
		return 0
	}
	return s.workOf(m)
}

func (s *service) workOf(m *catalog.Model) float64 {
	sum := s.forecast.Predict(m.Name)
	for _, w := range s.adapterWork(m) {
		sum += w
	}
	return sum
}

// adapterWork returns the demand for each adapter of a model that has any.
func (s *service) adapterWork(m *catalog.Model) map[galenastair.ModelName]float64 {
	out := map[galenastair.ModelName]float64{}
	for _, name := range s.modelSet.adapters[m.Name] {
		if w := s.forecast.Predict(name); w > 0 {
			out[name] = w
		}
	}
	return out
}

func (s *service) modelCopies(m galenastair.ModelName) int {
	if s.index != nil {
		return len(s.index.ready[m])
	}
	n := 0
	for _, e := range s.engines {
		if e.ready(m) {
			n++
		}
	}
	return n
}

// load returns the prompt tokens pending at an engine over all instances, with 100 more for each
// request in flight.
func (s *service) load(e *engine) float64 {
	l := s.loads[e.server.ID]
	return l.PendingTokens + 100*l.InFlight
}

// recordDemand records demand for a model or adapter, and marks adapters as used.
func (s *service) recordDemand(now time.Time, name galenastair.ModelName, work time.Duration) {
	model, adapter := splitName(name)
	if !s.modelSet.knows(model, adapter) {
		return
	}
	s.forecast.Observe(name, work.Seconds())
	if adapter == "" {
		return
	}
	for _, e := range s.engines {
		if c := e.adapters[name]; c != nil {
			c.lastUsed = now
		}
	}
}

// setEngine adds an engine or applies its new registration.
func (s *service) setEngine(now time.Time, srv pool.Server) {
	e := s.engines[srv.ID]
	if e != nil && srv.Incarnation < e.server.Incarnation {
		return
	}
	if e == nil || e.server.Incarnation != srv.Incarnation {
		fresh := newEngine(srv)
		fresh.leading = s.leading
		if e != nil && now.Before(e.lostUntil) {
			// an unanswered order to the previous process could take effect on this one, once its
			// sequence number reaches the one in that order
			fresh.retryAt, fresh.lostSequence, fresh.lostUntil = e.lostUntil, e.lostSequence, e.lostUntil
		}
		s.engines[srv.ID] = fresh
		return
	}
	e.applyRegistration(now, srv)
}
