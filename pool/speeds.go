package pool

import (
	"time"

	"galenastair/speed"
)

// WithServerSpeeds has the pool record observations of the backend servers' speeds, and use the speed
// factors that it is given.
func WithServerSpeeds() Option { return func(p *Pool) { p.speeds = speed.NewTable() } }

// speedFactor returns the factor of a new process.
func (p *Pool) speedFactor(s Server) speed.Ratio {
	if p.speeds == nil {
		return 1
	}
	return p.speeds.Factor(speed.KeyOf(s.ID, s.Incarnation))
}

// observeSpeed records the ratio of actual to expected time of an attempt that did not wait for
// others, both at a factor of 1.
func (a *Attempt) observeSpeed(ratio float64) {
	p := a.pool
	if p.speeds == nil || len(p.speedObservations) >= speed.MaxObservations {
		return
	}
	p.speedObservations = append(p.speedObservations, speed.Observation{Server: a.backend.speedKey, Ratio: speed.Ratio(ratio)})
}

// TakeSpeedObservations returns the observations since the last call.
func (p *Pool) TakeSpeedObservations() []speed.Observation {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := p.speedObservations
	p.speedObservations = nil
	return out
}

// SetSpeeds applies speed factors that have changed.
func (p *Pool) SetSpeeds(now time.Time, u speed.Update) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.speeds == nil || len(u.Factors) == 0 {
		return
	}
	p.speeds.Apply(u)
	for _, b := range p.backends {
		if f := p.speeds.Factor(b.speedKey); f != b.factor {
			b.setFactor(now, f)
		}
	}
}

// setFactor sets the speed factor and reduces the latency ratio accordingly, which includes the
// server's speed as far as the factor before did not.
func (b *backend) setFactor(now time.Time, f speed.Ratio) {
	b.ratio = latencyRatio{ratio: min(maxRatio, max(minRatio, b.ratio.value(now)*float64(b.factor/f))), at: now}
	b.factor = f
}

// SpeedFactors returns the speed factors other than 1 that this instance has received.
func (p *Pool) SpeedFactors() []speed.Factor {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.speeds == nil {
		return nil
	}
	return p.speeds.Factors()
}

// UnevenServers returns the number of backend servers whose speed factor is not 1.
func (p *Pool) UnevenServers() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, b := range p.backends {
		if b.factor != 1 {
			n++
		}
	}
	return n
}
