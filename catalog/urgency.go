package catalog

import (
	"time"

	"galenastair"
)

// priorityLevels is the number of priorities that backend servers distinguish; greater ones count as
// the last.
const priorityLevels = 10

// urgency describes the requests of a service by priority.
type urgency [priorityLevels]struct {
	// target is the shortest target latency of the requests, 0 if there are none with a target.
	target  time.Duration
	present bool
}

func (u *urgency) add(priority int, target time.Duration) {
	level := &u[min(max(priority, 0), priorityLevels-1)]
	level.present = true
	if target > 0 && (level.target == 0 || target < level.target) {
		level.target = target
	}
}

// newUrgencies returns the urgency of each service that a route sends requests to. An organisation's own
// priority does not count: one organisation of the highest would make the urgent requests of all others
// yield.
func newUrgencies(routes []*Route) map[galenastair.ServiceName]*urgency {
	out := map[galenastair.ServiceName]*urgency{}
	for _, r := range routes {
		for _, t := range r.Targets {
			if t.Weight <= 0 {
				continue
			}
			if out[t.Service] == nil {
				out[t.Service] = &urgency{}
			}
			out[t.Service].add(r.Priority, r.TargetLatency)
		}
	}
	return out
}

// MoreUrgent returns the shortest target latency of the routes of a service that are more urgent than a
// route priority, and the number of their priorities; 0 if there are none with a target latency.
func (c *Catalog) MoreUrgent(s galenastair.ServiceName, priority int) (time.Duration, int) {
	u := c.urgencies[s]
	if u == nil {
		return 0, 0
	}
	var shortest time.Duration
	levels := 0
	for _, level := range u[:min(max(priority, 0), priorityLevels)] {
		if !level.present || level.target == 0 {
			continue
		}
		levels++
		if shortest == 0 || level.target < shortest {
			shortest = level.target
		}
	}
	return shortest, levels
}

// maxRouteLevels is the number of priorities of routes that are told apart at most: more levels than
// routes use would leave too few for organisations.
const maxRouteLevels = 3

// newRouteLevels returns how many priorities of routes fit between two priorities of organisations, if
// backend servers distinguish priorityLevels in all.
func newRouteLevels(routes []*Route, organisations []*Organisation) int {
	highest := 0
	for _, r := range routes {
		highest = max(highest, r.Priority)
	}
	for _, o := range organisations {
		if o.HasPriority {
			highest = max(highest, o.Priority)
		}
	}
	return min(maxRouteLevels, max(1, priorityLevels/(highest+1)))
}

// Level returns the level, from 0 for the first, at which backend servers order the requests of an
// organisation on a route: by the organisation's priority and, among equal organisations, by the
// route's. Otherwise the patient requests of an organisation with a priority of its own would go before
// its urgent ones. An organisation without a priority, or none, has that of the route.
func (c *Catalog) Level(o *Organisation, r *Route) int {
	route := max(0, r.Priority)
	organisation := route
	if o != nil && o.HasPriority {
		organisation = max(0, o.Priority)
	}
	return min(priorityLevels-1, organisation*c.routeLevels+min(route, c.routeLevels-1))
}
