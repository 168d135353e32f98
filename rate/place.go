package rate

import (
	"cmp"
	"slices"
	"time"

	"galenastair"
)

// place is one holder of an organisation as this entry sees it.
type place struct {
	account Account
	holder  galenastair.Peer
}

// places remembers the holders of organisations for one epoch, since ranking the
// members costs more than the rest of a charge.
type places struct {
	epoch galenastair.Epoch
	known map[galenastair.Organisation][]place
}

// of returns the holders in the order of their slots.
func (p *places) of(d Duties, o galenastair.Organisation) []place {
	if p.known == nil || p.epoch != d.Epoch() {
		p.epoch = d.Epoch()
		p.known = make(map[galenastair.Organisation][]place)
	}
	if list, ok := p.known[o]; ok {
		return list
	}
	var list []place
	for slot := range Slot(Holders) {
		a := Account{o, slot}
		if holder, ok := d.Owner(a); ok {
			list = append(list, place{a, holder})
		}
	}
	p.known[o] = list
	return list
}

// The order in which holders are asked.
const (
	// here costs no message.
	here = iota
	// sameZone crosses no zone.
	sameZone
	otherZone
	// drained comes after those that have tokens. Entries that always drained the
	// nearest share would leave the others full, where what comes in is lost.
	drained
	// silent has just failed to answer.
	silent
)

// placesOf returns the organisation's holders by slot, and in the order in which to ask them.
func (l *Limiter) placesOf(w *wanted) (bySlot, inOrder []place) {
	d, now := l.duties(), l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	bySlot = l.places.of(d, w.organisation)
	inOrder = slices.Clone(bySlot)
	self := d.Self()
	slices.SortStableFunc(inOrder, func(a, b place) int {
		return cmp.Or(
			cmp.Compare(l.distance(now, self, w.cache, a), l.distance(now, self, w.cache, b)),
			cmp.Compare(w.cache.last[b.account.Slot].likely(now), w.cache.last[a.account.Slot].likely(now)),
		)
	})
	return bySlot, inOrder
}

func (l *Limiter) distance(now time.Time, self galenastair.Peer, c *cache, p place) int {
	switch {
	case now.Before(l.suspects[p.holder.ID]):
		return silent
	case c.last[p.account.Slot].low(now):
		return drained
	case p.holder.ID == self.ID:
		return here
	case p.holder.AvailabilityZone == self.AvailabilityZone:
		return sameZone
	default:
		return otherZone
	}
}
