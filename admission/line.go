package admission

import (
	"slices"

	"galenastair"
)

// line holds the waiting requests of one model, which use the same backend servers.
type line struct {
	tickets []*Ticket
}

func (c *Controller) add(t *Ticket) {
	if t.waiting {
		return
	}
	l := c.lines[t.req.key()]
	if l == nil {
		l = &line{}
		c.lines[t.req.key()] = l
	}
	l.tickets = append(l.tickets, t)
	t.waiting, t.wake = true, make(chan struct{}, 1)
	c.waiting++
}

func (c *Controller) remove(t *Ticket) {
	if t.waiting && !t.evicted {
		c.detach(t)
	}
	t.waiting = false
}

// detach removes a request from its line.
func (c *Controller) detach(t *Ticket) {
	l := c.lines[t.req.key()]
	l.tickets = slices.DeleteFunc(l.tickets, func(o *Ticket) bool { return o == t })
	if len(l.tickets) == 0 {
		delete(c.lines, t.req.key())
	}
	c.waiting--
}

// firstOf returns the request that goes first among t and those that wait with it.
func (c *Controller) firstOf(t *Ticket) *Ticket {
	l := c.lines[t.req.key()]
	if l == nil {
		return t
	}
	excess := l.excess(t)
	first := t
	for _, o := range l.tickets {
		if !o.granted && o.before(first, excess) {
			first = o
		}
	}
	return first
}

func (l *line) first() *Ticket {
	excess := l.excess(nil)
	first := l.tickets[0]
	for _, o := range l.tickets[1:] {
		if o.before(first, excess) {
			first = o
		}
	}
	return first
}

// excess returns for each organisation by what factor its waiting requests exceed its share: its
// contract rate over the sum of the rates of those that have requests waiting.
func (l *line) excess(also *Ticket) map[galenastair.Organisation]float64 {
	count := map[galenastair.Organisation]float64{}
	rate := map[galenastair.Organisation]float64{}
	add := func(t *Ticket) {
		count[t.req.Organisation]++
		rate[t.req.Organisation] = max(1e-3, t.req.Rate)
	}
	for _, t := range l.tickets {
		add(t)
	}
	if also != nil && !also.waiting {
		add(also)
	}
	total, rates := 0.0, 0.0
	for o := range count {
		total += count[o]
		rates += rate[o]
	}
	for o := range count {
		count[o] = max(1, count[o]/total*rates/rate[o])
	}
	return count
}

// before reports whether t goes before o: by priority, retries after a refusal first, organisations
// within their share before others, then by the least slack.
func (t *Ticket) before(o *Ticket, excess map[galenastair.Organisation]float64) bool {
	if t.req.Priority != o.req.Priority {
		return t.req.Priority < o.req.Priority
	}
	if t.returning != o.returning {
		return t.returning
	}
	if a, b := excess[t.req.Organisation], excess[o.req.Organisation]; a != b {
		return a < b
	}
	return t.req.lastMoment().Before(o.req.lastMoment())
}

func (t *Ticket) notify() {
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// makeRoom reports whether one more request may wait. If too many wait, the one that would go last is
// refused, unless that is t.
func (c *Controller) makeRoom(t *Ticket) bool {
	if c.waiting < MaxWaiting {
		return true
	}
	all := &line{}
	for _, l := range c.lines {
		for _, o := range l.tickets {
			if !o.granted && !o.evicted {
				all.tickets = append(all.tickets, o)
			}
		}
	}
	excess := all.excess(t)
	last := t
	for _, o := range all.tickets {
		if last.before(o, excess) {
			last = o
		}
	}
	if last == t {
		return false
	}
	last.evicted = true
	c.detach(last)
	last.notify()
	return true
}
