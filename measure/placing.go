package measure

import (
	"slices"
	"time"

	"galenastair"
	"galenastair/dispatch"
	"galenastair/forecast"
	"galenastair/place"
)

// placing is the leader's side: the forecast, the planner and what engines make of it.
type placing struct {
	f         *fleet
	planner   *place.Planner
	forecast  *forecast.Forecast
	catalogue []galenastair.Weight
	moves     int
	models    int
	adapters  int
}

func newPlacing(f *fleet) *placing {
	s := f.site.settings()
	if f.policy.eager {
		s.RebalanceThreshold, s.MinGain, s.MoveCooldown, s.MinCopyLifetime = 0, 0.01, 0, 0
	}
	p := &placing{f: f, planner: place.NewPlanner(s), forecast: forecast.New()}
	for m := range f.site.models {
		p.catalogue = append(p.catalogue, galenastair.Weight{Name: modelName(m), Memory: galenastair.Bytes(10 + m%7)})
		for a := range f.site.adaptersPerModel {
			p.catalogue = append(p.catalogue, galenastair.Weight{Name: adapterName(m, a), Base: modelName(m), Memory: 1})
		}
	}
	return p
}

func (p *placing) observe() {
	for _, e := range p.f.entries {
		for _, d := range e.Demand() {
			p.forecast.Observe(d.Model, d.Work-e.counted[d.Model])
			e.counted[d.Model] = d.Work
		}
	}
	p.forecast.EndPeriod(p.f.now)
}

func (p *placing) plan() {
	if p.f.policy.static && !p.f.now.Before(p.f.begin) {
		return
	}
	in := place.Input{Now: p.f.now, Catalogue: p.catalogue, Work: p.forecast.Predict}
	for _, s := range p.f.listed {
		en := p.f.engine(s.ID)
		if en.dead {
			continue
		}
		sv := place.Server{ID: s.ID, AvailabilityZone: s.AvailabilityZone, FreeMemory: p.f.site.memory, Unhealthy: p.slow(s.ID)}
		for _, l := range en.loaded {
			sv.FreeMemory -= l.Weight.Memory
			sv.Copies = append(sv.Copies, place.Copy{Weight: l.Weight, State: copyState(l.State)})
		}
		in.Servers = append(in.Servers, sv)
	}
	for _, st := range p.planner.Plan(in) {
		p.carryOut(st)
	}
}

// slow asks the leader's own router, as the assembly does.
func (p *placing) slow(id galenastair.BackendServerID) bool {
	c, ok := p.f.entries[0].decider.(*dispatch.Scheduler)
	return ok && slices.Contains(c.Unhealthy(p.f.now), id)
}

func copyState(s galenastair.LoadState) place.CopyState {
	switch s {
	case galenastair.Ready:
		return place.Ready
	case galenastair.Unloading:
		return place.Unloading
	}
	return place.Loading
}

func (p *placing) carryOut(s place.Step) {
	en := p.f.engine(s.Server)
	if p.f.now.After(p.f.begin) && s.Weight.Base == "" && s.Kind == galenastair.LoadModel {
		p.moves++
	}
	if s.Kind == galenastair.UnloadModel {
		en.mark(s.Weight, galenastair.Unloading)
		p.f.after(time.Second, func() { en.drop(s.Weight) })
		return
	}
	en.loaded = append(en.loaded, galenastair.LoadedWeight{Weight: s.Weight, State: galenastair.Loading})
	p.f.after(p.takes(s.Weight), func() { en.mark(s.Weight, galenastair.Ready) })
}

// takes is how long a load takes; beyond what the store stands all get slower.
func (p *placing) takes(w galenastair.Weight) time.Duration {
	count, most, took := &p.models, p.f.site.loadsInFlight, loadTime
	if w.Base != "" {
		count, most, took = &p.adapters, p.f.site.adaptersInFlight, adapterTime
	}
	*count++
	took = time.Duration(float64(took) * max(1, float64(*count)/float64(most)))
	p.f.after(took, func() { *count-- })
	return took
}

func (e *engine) mark(w galenastair.Weight, s galenastair.LoadState) {
	for i := range e.loaded {
		if e.loaded[i].Weight == w {
			e.loaded[i].State = s
		}
	}
}

func (e *engine) drop(w galenastair.Weight) {
	for i := range e.loaded {
		if e.loaded[i].Weight == w {
			e.loaded = append(e.loaded[:i], e.loaded[i+1:]...)
			return
		}
	}
}
