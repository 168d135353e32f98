package planner

import (
	"slices"
	"time"

	"galenastair/place"
)

// newsAt is a change of what a backend server holds.
type newsAt struct {
	Placement
	dropped bool
	at      time.Time
	number  int64
}

// announce adds a change for all instances; it takes back an earlier one of the same.
func (p *Planner) announce(now time.Time, at Placement, dropped bool) {
	p.news = slices.DeleteFunc(p.news, func(c newsAt) bool { return c.Placement == at })
	p.newest++
	p.news = append(p.news, newsAt{at, dropped, now, p.newest})
}

// announceUnload tells of what engines are about to give up, once.
func (p *Planner) announceUnload(now time.Time, at Placement) {
	known := func(c newsAt) bool { return c.Placement == at && c.dropped }
	if !slices.ContainsFunc(p.news, known) {
		p.announce(now, at, true)
	}
}

func (p *Planner) expireNews(now time.Time) {
	for len(p.news) > 0 && now.Sub(p.news[0].at) > newsLife {
		p.news = p.news[1:]
	}
	for len(p.poisons) > 0 && now.Sub(p.poisons[0].at) > newsLife {
		p.poisons = p.poisons[1:]
	}
}

// announceUnloads tells of all that engines are about to give up.
func (p *Planner) announceUnloads(now time.Time) {
	for _, s := range p.sites {
		for id, e := range s.engines {
			for name, it := range e.models {
				if it.state == place.Going {
					p.announceUnload(now, Placement{id, name})
				}
			}
		}
	}
}
