package planner

import (
	"time"

	"galenastair/pool"
)

// brittleTTL is how long the planner tells that a service is brittle. Instances add the age.
const brittleTTL = 10 * time.Second

// observeBrittle records the services whose servers told one instance that they are brittle.
func (p *Planner) observeBrittle(now time.Time, services []pool.BrittleService) {
	for _, b := range services {
		at, known := now.Add(-b.Age), p.brittle[b.Service]
		if !at.After(known) {
			continue
		}
		if now.Sub(known) > brittleTTL {
			p.logger.Log("event", "brittle", "service", b.Service)
		}
		p.brittle[b.Service] = at
	}
}

// currentBrittle returns the services that are brittle, and removes the others.
func (p *Planner) currentBrittle(now time.Time) []pool.BrittleService {
	var out []pool.BrittleService
	for service, at := range p.brittle {
		if age := now.Sub(at); age < brittleTTL {
			out = append(out, pool.BrittleService{Service: service, Age: age})
			continue
		}
		delete(p.brittle, service)
	}
	return out
}
