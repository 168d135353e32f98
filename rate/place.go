package rate

import (
	"slices"
	"time"

	"galenastair"
)

// place is one holder of an organisation as this entry sees it.
type place struct {
	account Account
	holder  Peer
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

// nearest orders holders: this instance costs no message, one in the same zone
// crosses no zone, and one that has just failed to answer comes last.
func nearest(list []place, self Peer, suspect func(galenastair.InstanceID) bool) []place {
	distance := func(p place) int {
		switch {
		case p.holder.ID == self.ID:
			return 0
		case suspect(p.holder.ID):
			return 3
		case p.holder.AvailabilityZone == self.AvailabilityZone:
			return 1
		default:
			return 2
		}
	}
	ordered := slices.Clone(list)
	slices.SortStableFunc(ordered, func(a, b place) int { return distance(a) - distance(b) })
	return ordered
}

func (l *Limiter) suspected(now time.Time) func(galenastair.InstanceID) bool {
	return func(id galenastair.InstanceID) bool { return now.Before(l.suspects[id]) }
}

// placesOf returns the organisation's holders by slot and by nearness.
func (l *Limiter) placesOf(o galenastair.Organisation) (bySlot, byNearness []place) {
	d, now := l.duties(), l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	bySlot = l.places.of(d, o)
	return bySlot, nearest(bySlot, d.Self(), l.suspected(now))
}
