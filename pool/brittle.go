package pool

import (
	"time"

	"galenastair"
)

// brittleTTL is how long a service counts as brittle after one of its servers said so. A server that has
// restarted under another ID has not said so yet.
const brittleTTL = 10 * time.Second

// BrittleService is a service whose servers fail if they have to decline more than a few requests per
// second.
type BrittleService struct {
	Service galenastair.ServiceName
	// Age is the time since one of them said so.
	Age time.Duration
}

// brittleState is when servers of a service last said that they are brittle.
type brittleState struct {
	// observedAt is the time of the last answer to this instance, and at that of one to any instance.
	observedAt, at time.Time
}

// ObserveBrittle records that a server has said in an answer that it is brittle. It reports whether that
// was not known of its service.
func (p *Pool) ObserveBrittle(now time.Time, id galenastair.BackendServerID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	b := p.backends[id]
	if b == nil {
		return false
	}
	known := p.isBrittle(now, b.Service)
	p.brittle[b.Service] = brittleState{now, now}
	return !known
}

// BrittleServices returns the services whose servers have said in answers to this instance that they are
// brittle.
func (p *Pool) BrittleServices(now time.Time) []BrittleService {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []BrittleService
	for service, s := range p.brittle {
		if age := now.Sub(s.observedAt); age < brittleTTL {
			out = append(out, BrittleService{service, age})
		}
	}
	return out
}

// SetPeerBrittle records the services whose servers have told any instance that they are brittle.
func (p *Pool) SetPeerBrittle(now time.Time, services []BrittleService) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, b := range services {
		s := p.brittle[b.Service]
		if at := now.Add(-b.Age); at.After(s.at) {
			s.at = at
			p.brittle[b.Service] = s
		}
	}
}

func (p *Pool) isBrittle(now time.Time, s galenastair.ServiceName) bool {
	state, known := p.brittle[s]
	return known && now.Sub(state.at) < brittleTTL
}

// maxInFlight returns the number of requests that a server surely takes at once if it is brittle, 0 if
// any number may be sent.
func (p *Pool) maxInFlight(now time.Time, b *backend) int {
	if !p.isBrittle(now, b.Service) {
		return 0
	}
	return b.Slots
}

// InFlight returns the number of requests in flight at a server: of this instance, and of the others as
// last reported.
func (p *Pool) InFlight(now time.Time, id galenastair.BackendServerID) (own, others int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	b := p.backends[id]
	if b == nil {
		return 0, 0
	}
	return b.inFlight, int(b.peerInFlight(now) + 0.5)
}

// BrittleInFlight returns the number of requests of this instance in flight at each server of a brittle
// service that has any.
func (p *Pool) BrittleInFlight(now time.Time) map[galenastair.BackendServerID]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := map[galenastair.BackendServerID]int{}
	for service := range p.brittle {
		for _, b := range p.byService[service] {
			if b.inFlight > 0 && p.maxInFlight(now, b) > 0 {
				out[b.ID] = b.inFlight
			}
		}
	}
	return out
}
