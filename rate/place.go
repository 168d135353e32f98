package rate

import (
	"cmp"
	"slices"
	"time"

	"galenastair"
)

// shareHolder is a share of an organisation and its holder.
type shareHolder struct {
	shareID ShareID
	peer    galenastair.Peer
}

// holderCache caches the holders of organisations for one epoch, since ranking the
// members costs more than the rest of a charge.
type holderCache struct {
	epoch          galenastair.Epoch
	byOrganisation map[galenastair.Organisation][]shareHolder
}

// lookup returns the holders ordered by slot.
func (p *holderCache) lookup(d Assignment, o galenastair.Organisation) []shareHolder {
	if p.byOrganisation == nil || p.epoch != d.Epoch() {
		p.epoch = d.Epoch()
		p.byOrganisation = make(map[galenastair.Organisation][]shareHolder)
	}
	if list, ok := p.byOrganisation[o]; ok {
		return list
	}
	var list []shareHolder
	for slot := range Slot(Holders) {
		id := ShareID{o, slot}
		if holder, ok := d.Owner(id); ok {
			list = append(list, shareHolder{id, holder})
		}
	}
	p.byOrganisation[o] = list
	return list
}

// Holder ranks. Holders with a lower rank are asked first.
const (
	// rankLocal needs no message.
	rankLocal = iota
	// rankSameZone needs no message between availability zones.
	rankSameZone
	rankOtherZone
	// rankLowShare follows the holders that have tokens. If entries always drained the
	// nearest share, the others would stay full and lose the tokens that they refill.
	rankLowShare
	// rankUnresponsive has failed to answer in the last unresponsiveTime.
	rankUnresponsive
)

// rankHolders returns the organisation's holders ordered by slot, and in the order in
// which to ask them.
func (l *Limiter) rankHolders(req *chargeRequest) (bySlot, inOrder []shareHolder) {
	d, now := l.assignment(), l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	bySlot = l.holders.lookup(d, req.organisation)
	inOrder = slices.Clone(bySlot)
	self := d.Self()
	slices.SortStableFunc(inOrder, func(a, b shareHolder) int {
		return cmp.Or(
			cmp.Compare(l.rank(now, self, req.cache, a), l.rank(now, self, req.cache, b)),
			cmp.Compare(req.cache.lastStates[b.shareID.Slot].estimate(now), req.cache.lastStates[a.shareID.Slot].estimate(now)),
		)
	})
	return bySlot, inOrder
}

func (l *Limiter) rank(now time.Time, self galenastair.Peer, c *loanCache, p shareHolder) int {
	switch {
	case now.Before(l.unresponsive[p.peer.ID]):
		return rankUnresponsive
	case c.lastStates[p.shareID.Slot].low(now):
		return rankLowShare
	case p.peer.ID == self.ID:
		return rankLocal
	case p.peer.AvailabilityZone == self.AvailabilityZone:
		return rankSameZone
	default:
		return rankOtherZone
	}
}
