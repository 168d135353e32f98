package planner

import (
	"maps"
	"slices"
	"time"

	"galenastair"
	"galenastair/pool"
	"galenastair/speed"
)

// WithServerSpeeds has the planner estimate the speeds of backend servers. known returns the factors
// that this instance has received from other leaders.
func WithServerSpeeds(known func() []speed.Factor) Option {
	return func(p *Planner) { p.knownSpeeds = known }
}

func speedKey(s pool.Server) speed.Key { return speed.KeyOf(s.ID, s.Incarnation) }

// setSpeedServer applies the registration of a backend server. old is the one before, if known.
func (p *Planner) setSpeedServer(old pool.Server, known bool, s pool.Server) {
	if p.knownSpeeds == nil {
		return
	}
	if known && speedKey(old) != speedKey(s) {
		p.speeds.DropServer(speedKey(old))
	}
	p.speeds.SetServer(speedKey(s), s.Service)
}

// restartSpeeds takes the previous leader's factors at the start of a term.
func (p *Planner) restartSpeeds(now time.Time) {
	if p.knownSpeeds != nil {
		p.speeds.Restart(now, p.knownSpeeds())
	}
}

// exchangeSpeeds records the observations of one instance and returns the factors that it lacks.
func (p *Planner) exchangeSpeeds(now time.Time, r Report) speed.Update {
	if p.knownSpeeds == nil {
		return speed.Update{}
	}
	p.speeds.Observe(now, r.SpeedObservations)
	return p.speeds.Since(r.LastSpeed)
}

// stepSpeeds announces the factors that have changed.
func (p *Planner) stepSpeeds(now time.Time) {
	if p.knownSpeeds == nil {
		return
	}
	changes := p.speeds.Step(now)
	if len(changes) == 0 {
		return
	}
	ids := map[speed.Key]galenastair.BackendServerID{}
	for s := range maps.Values(p.servers) {
		ids[speedKey(s)] = s.ID
	}
	slices.SortFunc(changes, func(a, b speed.Change) int { return int(int64(a.Server) - int64(b.Server)) })
	for _, c := range changes {
		p.logger.Log("event", "speed", "server", ids[c.Server], "factor", c.Factor.String(), "before", c.Before.String(), "observations", c.Observations)
	}
}

// speedFactor returns the speed factor of an engine, 0 if it counts as 1.
func (s *service) speedFactor(e *engine) float64 {
	if s.speeds == nil {
		return 0
	}
	if f := s.speeds.Factor(speedKey(e.server)); f != 1 {
		return float64(f)
	}
	return 0
}
