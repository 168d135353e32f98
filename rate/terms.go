package rate

import (
	"time"

	"galenastair"
)

// ownedShare is a share that is assigned to this instance: the contract that it is to
// enforce and the limits that are in effect.
type ownedShare struct {
	contract  Contract
	effective Limits
	// handedOver reports whether the former holder handed the share over.
	handedOver bool
}

func (s *ownedShare) targetLimits(id ShareID) Limits { return s.contract.ShareLimits(id.Slot) }

func (s *ownedShare) increasePending(id ShareID) bool { return s.effective != s.targetLimits(id) }

// applyContract records a changed contract. Reduced limits take effect immediately.
//
// Increased limits wait for applyIncreases. Holders apply the configuration at
// different times, and the sum of their limits must not exceed the old contract while
// one of them still enforces it, nor the new one afterwards.
func (l *lender) applyContract(now time.Time, id ShareID, c Contract) {
	s := l.owned[id]
	if s == nil {
		l.owned[id] = &ownedShare{contract: c}
		return
	}
	if s.contract == c {
		return
	}
	s.contract = c
	if !l.holder.IsOpen(id) {
		return
	}
	limits := s.targetLimits(id)
	s.effective = s.effective.lowerOf(limits)
	l.holder.SetLimits(now, id, s.effective)
}

// applyIncreases puts increased limits into effect once every holder has applied the
// contract, and returns the holders of which this is not yet known.
func (l *lender) applyIncreases(now time.Time, d Assignment) []galenastair.Peer {
	unknown := make(map[galenastair.Peer]bool)
	for id, s := range l.owned {
		if !l.holder.IsOpen(id) || !s.increasePending(id) {
			continue
		}
		if l.allApplied(d, id, s, unknown) {
			s.effective = s.targetLimits(id)
			l.holder.SetLimits(now, id, s.effective)
		}
	}
	peers := make([]galenastair.Peer, 0, len(unknown))
	for p := range unknown {
		peers = append(peers, p)
	}
	return peers
}

func (l *lender) allApplied(d Assignment, id ShareID, s *ownedShare, unknown map[galenastair.Peer]bool) bool {
	all := true
	for slot := range Slot(Holders) {
		p, ok := d.Owner(ShareID{id.Organisation, slot})
		if !ok || p.ID == d.Self().ID {
			continue
		}
		if l.appliedOffsets[p.ID] <= s.contract.Offset {
			unknown[p] = true
			all = false
		}
	}
	return all
}
