package planner

import (
	"time"

	"galenastair"
	"galenastair/catalog"
	"galenastair/forecast"
	"galenastair/place"
	"galenastair/pool"
)

const (
	// demandMemory is over what the demand for models is smoothed: loads take two
	// seconds and demand moves every five to ten.
	demandMemory = 2500 * time.Millisecond
	// busyShare is the part of an engine's work below which no copy is made for load.
	// Prompts come in bursts; from a third on, callers begin to wait for each other.
	busyShare = 0.3
	// mostUneven is how many times the load of an engine on the whole one may have before
	// a copy is made for it, where loads take long: engines that share the work alike differ
	// so much for moments. quickLoad is a load that takes no longer than such a moment.
	mostUneven = 2
	quickLoad  = 3 * time.Second
	// leastGain is the part of the busiest engine's load that a move must take off it.
	leastGain = 0.12
	// calm and stay keep demand that swings from moving the same copies to and fro;
	// a load takes 2 to 3 s.
	calm = 1200 * time.Millisecond
	stay = 5 * time.Second
	// dropUnasked: from here on more is asked of an engine than it can do.
	dropUnasked = 1.2
	// askedWork is the part of an engine's time that one request in some ten seconds takes.
	askedWork = 0.01
	// reliefsARound: demand that moves takes several copies at once.
	reliefsARound = 3
)

// site is the engines of one service and the plan for them.
type site struct {
	contents *contents
	engines  map[galenastair.BackendServerID]*engine
	plan     *place.Planner
	forecast *forecast.Forecast
	loads    loads
	// limits are those that engines have named.
	limits map[galenastair.BackendServerID]namedLimit
	// strict says that this instance orders.
	strict bool
	// index is what engines hold, for the time of one round; nil otherwise.
	index *index
}

func newSite(s *catalog.Service) *site {
	return &site{
		contents: newContents(s),
		engines:  map[galenastair.BackendServerID]*engine{},
		plan:     newPlan(s.Engine),
		forecast: forecast.New(forecast.WithMemory(demandMemory)),
		loads:    loads{},
	}
}

// newPlan takes the pace of loads from the configuration. As many are on their way
// together as begin in the time that one takes: more would only slow each other.
func newPlan(e *catalog.Engine) *place.Planner {
	var longest time.Duration
	for _, m := range e.Models {
		longest = max(longest, m.Load)
	}
	return place.NewPlanner(place.Settings{
		LoadsPerSecond: e.LoadsPerSecond,
		LoadsInFlight:  max(1, int(e.LoadsPerSecond*longest.Seconds())),
		ServerWork:     1,
		Busy:           busyShare,
		Uneven:         min(mostUneven, longest.Seconds()/quickLoad.Seconds()),
		Gain:           leastGain,
		Calm:           calm,
		Stay:           stay,
		ReliefsARound:  reliefsARound,
		AskedWork:      askedWork,
		DropUnasked:    dropUnasked,
	})
}

// round plans the models and queues the orders.
func (s *site) round(now time.Time) {
	in := place.Input{Now: now, Catalogue: s.contents.weights, Work: s.work}
	for id, e := range s.engines {
		in.Servers = append(in.Servers, s.input(id, e))
	}
	for _, step := range s.plan.Plan(in) {
		if e := s.engines[step.Server]; e != nil {
			e.add(now, task{kind: step.Kind, model: step.Weight.Name, reason: step.Reason})
		}
	}
	s.index = s.newIndex()
	s.spreadAdapters(now)
	s.preloadAdapters(now)
	s.index = nil
}

func (s *site) input(id galenastair.BackendServerID, e *engine) place.Server {
	in := place.Server{
		ID:               id,
		AvailabilityZone: e.server.AvailabilityZone,
		Leaving:          e.server.Leaving,
		Limited:          s.limited(e),
		Free:             e.free(s.contents),
	}
	in.AtHand = make(map[galenastair.ModelName]bool, len(e.server.AtHand))
	for _, name := range e.server.AtHand {
		in.AtHand[name] = true
	}
	for name, it := range e.models {
		w := galenastair.Weight{Name: name, Memory: s.contents.memory(name)}
		in.Copies = append(in.Copies, place.Copy{Weight: w, State: it.state})
	}
	return in
}

// work is the demand for a model with its adapters: they run where it is.
func (s *site) work(name galenastair.ModelName) float64 {
	m := s.contents.models[name]
	if m == nil {
		return 0
	}
	return s.workOf(m)
}

func (s *site) workOf(m *catalog.Model) float64 {
	sum := s.forecast.Work(m.Name)
	for _, w := range s.adapterWork(m) {
		sum += w
	}
	return sum
}

// adapterWork returns the demand for those adapters of a model that have any.
func (s *site) adapterWork(m *catalog.Model) map[galenastair.ModelName]float64 {
	out := map[galenastair.ModelName]float64{}
	for _, name := range s.contents.adapters[m.Name] {
		if w := s.forecast.Work(name); w > 0 {
			out[name] = w
		}
	}
	return out
}

func (s *site) modelCopies(m galenastair.ModelName) int {
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

// load is the prompt tokens that wait at an engine, over all instances.
func (s *site) load(e *engine) float64 {
	l := s.loads[e.server.ID]
	return l.Unread + 100*l.Flights
}

// asked takes in demand for a model or adapter, and marks adapters as used.
func (s *site) asked(now time.Time, name galenastair.ModelName, work time.Duration) {
	model, adapter := splitName(name)
	if !s.contents.knows(model, adapter) {
		return
	}
	s.forecast.Observe(name, work.Seconds())
	if adapter == "" {
		return
	}
	for _, e := range s.engines {
		if it := e.adapters[name]; it != nil {
			it.used = now
		}
	}
}

// set adds an engine or takes in its registration.
func (s *site) set(now time.Time, srv pool.Server) {
	e := s.engines[srv.ID]
	if e != nil && srv.Born < e.server.Born {
		return
	}
	if e == nil || e.server.Born != srv.Born {
		fresh := newEngine(srv)
		fresh.strict = s.strict
		if e != nil && now.Before(e.lostUntil) {
			// an order without an answer would act once those of the new start have
			// brought the count to the one that it presumes
			fresh.rest, fresh.lost, fresh.lostUntil = e.lostUntil, e.lost, e.lostUntil
		}
		s.engines[srv.ID] = fresh
		return
	}
	e.registered(now, srv)
}
