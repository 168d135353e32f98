package measure

import (
	"slices"
	"time"

	"galenastair"
	"galenastair/dispatch"
	"galenastair/forecast"
	"galenastair/place"
)

// leader is the leader of the fleet: it forecasts demand, plans the placement and applies
// the plan to the engines.
type leader struct {
	fleet           *fleet
	planner         *place.Planner
	forecast        *forecast.Forecast
	catalogue       []galenastair.ModelWeights
	moves           int
	modelsLoading   int
	adaptersLoading int
}

func newLeader(f *fleet) *leader {
	s := f.site.placementSettings()
	if f.policy.noHysteresis {
		s.RebalanceThreshold, s.MinGain, s.MoveCooldown, s.MinCopyLifetime = 0, 0.01, 0, 0
	}
	l := &leader{fleet: f, planner: place.NewPlanner(s), forecast: forecast.New()}
	for m := range f.site.models {
		l.catalogue = append(l.catalogue, galenastair.ModelWeights{Name: modelName(m), Memory: galenastair.Bytes(10 + m%7)})
		for a := range f.site.adaptersPerModel {
			l.catalogue = append(l.catalogue, galenastair.ModelWeights{Name: adapterName(m, a), Base: modelName(m), Memory: 1})
		}
	}
	return l
}

func (l *leader) observeDemand() {
	for _, e := range l.fleet.entries {
		for _, d := range e.Demand() {
			l.forecast.Observe(d.Model, d.Work-e.observedWork[d.Model])
			e.observedWork[d.Model] = d.Work
		}
	}
	l.forecast.EndPeriod(l.fleet.now)
}

func (l *leader) plan() {
	if l.fleet.policy.staticPlacement && !l.fleet.now.Before(l.fleet.start) {
		return
	}
	in := place.Input{Now: l.fleet.now, Catalogue: l.catalogue, Work: l.forecast.Predict}
	for _, s := range l.fleet.listedServers {
		en := l.fleet.engine(s.ID)
		if en.failed {
			continue
		}
		server := place.Server{ID: s.ID, AvailabilityZone: s.AvailabilityZone, FreeMemory: l.fleet.site.memory, Unhealthy: l.isUnhealthy(s.ID)}
		for _, loaded := range en.loaded {
			server.FreeMemory -= loaded.Weight.Memory
			server.Copies = append(server.Copies, place.Copy{Weight: loaded.Weight, State: copyState(loaded.State)})
		}
		in.Servers = append(in.Servers, server)
	}
	for _, step := range l.planner.Plan(in) {
		l.applyStep(step)
	}
}

// isUnhealthy returns what the scheduler of the first entry finds. In the real system,
// the leader likewise uses the scheduler of its own instance.
func (l *leader) isUnhealthy(id galenastair.BackendServerID) bool {
	c, ok := l.fleet.entries[0].scheduler.(*dispatch.Scheduler)
	return ok && slices.Contains(c.Unhealthy(l.fleet.now), id)
}

func copyState(s galenastair.LoadState) place.CopyState {
	switch s {
	case galenastair.LoadStateReady:
		return place.Ready
	case galenastair.LoadStateUnloading:
		return place.Unloading
	}
	return place.Loading
}

func (l *leader) applyStep(s place.Step) {
	en := l.fleet.engine(s.Server)
	if l.fleet.now.After(l.fleet.start) && s.Weight.Base == "" && s.Kind == galenastair.LoadModel {
		l.moves++
	}
	if s.Kind == galenastair.UnloadModel {
		en.setState(s.Weight, galenastair.LoadStateUnloading)
		l.fleet.after(time.Second, func() { en.remove(s.Weight) })
		return
	}
	en.loaded = append(en.loaded, galenastair.LoadedWeights{Weight: s.Weight, State: galenastair.LoadStateLoading})
	l.fleet.after(l.loadDuration(s.Weight), func() { en.setState(s.Weight, galenastair.LoadStateReady) })
}

// loadDuration returns how long loading a model or adapter takes. Once more loads are in
// flight than the weight store can serve, each new one takes proportionally longer.
func (l *leader) loadDuration(w galenastair.ModelWeights) time.Duration {
	loading, limit, duration := &l.modelsLoading, l.fleet.site.loadsInFlight, modelLoadTime
	if w.Base != "" {
		loading, limit, duration = &l.adaptersLoading, l.fleet.site.adaptersInFlight, adapterLoadTime
	}
	*loading++
	duration = time.Duration(float64(duration) * max(1, float64(*loading)/float64(limit)))
	l.fleet.after(duration, func() { *loading-- })
	return duration
}

func (e *engine) setState(w galenastair.ModelWeights, s galenastair.LoadState) {
	for i := range e.loaded {
		if e.loaded[i].Weight == w {
			e.loaded[i].State = s
		}
	}
}

func (e *engine) remove(w galenastair.ModelWeights) {
	for i := range e.loaded {
		if e.loaded[i].Weight == w {
			e.loaded = append(e.loaded[:i], e.loaded[i+1:]...)
			return
		}
	}
}
