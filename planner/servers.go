package planner

import (
	"context"
	"slices"
	"time"

	"galenastair"
	"galenastair/pool"
)

// SetServer applies the registration of a backend server.
func (p *Planner) SetServer(ctx context.Context, s pool.Server) error {
	return p.loop.Post(ctx, func() {
		if old, ok := p.servers[s.ID]; ok && old.Incarnation != s.Incarnation {
			delete(p.downAt, s.ID)
		}
		old, known := p.servers[s.ID]
		p.setSpeedServer(old, known, s)
		p.servers[s.ID] = s
		p.setServer(s)
	})
}

// RemoveServer removes a backend server.
func (p *Planner) RemoveServer(ctx context.Context, id galenastair.BackendServerID) error {
	return p.loop.Post(ctx, func() {
		if s, known := p.servers[id]; known {
			p.speeds.RemoveServer(p.clock.Now(), speedKey(s))
		}
		delete(p.servers, id)
		delete(p.downAt, id)
		delete(p.limits, id)
		for _, s := range p.services {
			delete(s.engines, id)
		}
	})
}

// SetEvacuated sets the availability zones whose engines get no requests. Their models are loaded
// elsewhere, and they get no loads.
func (p *Planner) SetEvacuated(ctx context.Context, zones []galenastair.AvailabilityZone) error {
	return p.loop.Post(ctx, func() {
		p.evacuated = zones
		for _, s := range p.servers {
			p.setServer(s)
		}
	})
}

func (p *Planner) setServer(s pool.Server) {
	_, down := p.downAt[s.ID]
	if down || slices.Contains(p.evacuated, s.AvailabilityZone) {
		// its copies cannot be used, so they are replaced as for a server that is leaving
		s.Leaving = true
	}
	if svc := p.services[s.Service]; svc != nil {
		svc.setEngine(p.clock.Now(), s)
	}
}

// downTTL is how long an engine counts as down after an instance has reported it. It spans several
// exchanges, in which instances that still send there report it again.
const downTTL = 1500 * time.Millisecond

// markDown records servers that an instance reports as down. The registration of a crashed process
// stays for three heartbeats, and that of a leaving one is unchanged while the store is down; marking
// them gets their models loaded elsewhere before that.
func (p *Planner) markDown(now time.Time, ids []galenastair.BackendServerID) {
	for _, id := range ids {
		s, known := p.servers[id]
		if !known {
			continue
		}
		_, before := p.downAt[id]
		p.downAt[id] = now
		if !before {
			p.logger.Log("event", "absent", "server", id, "absent", true)
			p.setServer(s)
		}
	}
}

// expireDown clears the mark of servers that no instance has reported as down lately.
func (p *Planner) expireDown(now time.Time) {
	for id, at := range p.downAt {
		if now.Sub(at) < downTTL {
			continue
		}
		delete(p.downAt, id)
		p.logger.Log("event", "absent", "server", id, "absent", false)
		p.setServer(p.servers[id])
	}
}
