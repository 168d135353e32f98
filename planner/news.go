package planner

import (
	"slices"
	"time"

	"galenastair/place"
)

// placementChange is a change in what a backend server holds.
type placementChange struct {
	Placement
	removed  bool
	at       time.Time
	sequence int64
}

// publishChange adds a change for all instances and replaces an earlier one for the same
// placement.
func (p *Planner) publishChange(now time.Time, at Placement, removed bool) {
	p.changes = slices.DeleteFunc(p.changes, func(c placementChange) bool { return c.Placement == at })
	p.lastChange++
	p.changes = append(p.changes, placementChange{at, removed, now, p.lastChange})
}

// publishUnload publishes a placement as removed, unless that has been published already.
func (p *Planner) publishUnload(now time.Time, at Placement) {
	known := func(c placementChange) bool { return c.Placement == at && c.removed }
	if !slices.ContainsFunc(p.changes, known) {
		p.publishChange(now, at, true)
	}
}

func (p *Planner) expireChanges(now time.Time) {
	for len(p.changes) > 0 && now.Sub(p.changes[0].at) > changeTTL {
		p.changes = p.changes[1:]
	}
	for len(p.crashes) > 0 && now.Sub(p.crashes[0].at) > changeTTL {
		p.expiredCrash = p.crashes[0].sequence
		p.crashes = p.crashes[1:]
	}
	p.expirePartEvents(now)
}

// publishUnloads publishes all models that are being unloaded.
func (p *Planner) publishUnloads(now time.Time) {
	for _, s := range p.services {
		for id, e := range s.engines {
			for name, c := range e.models {
				if c.state == place.Unloading {
					p.publishUnload(now, Placement{id, name})
				}
			}
		}
	}
}
