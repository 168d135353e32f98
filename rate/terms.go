package rate

import (
	"time"

	"galenastair"
)

// terms is the contract that an account is to follow, and the share that it does follow.
type terms struct {
	contract Contract
	inForce  Share
	// handed says that the former holder handed the account over.
	handed bool
}

func (t *terms) share(a Account) Share { return t.contract.Share(a.Slot) }

func (t *terms) pending(a Account) bool { return t.inForce != t.share(a) }

// take puts a changed contract in force as far as it asks for less.
//
// A larger share waits for raise: holders fold the configuration at different
// times, and the sum of their shares must not exceed the old contract while one
// of them still follows it, nor the new one afterwards.
func (l *lender) take(now time.Time, a Account, c Contract) {
	t := l.terms[a]
	if t == nil {
		l.terms[a] = &terms{contract: c}
		return
	}
	if t.contract == c {
		return
	}
	t.contract = c
	if !l.holder.Has(a) {
		return
	}
	share := t.share(a)
	t.inForce = t.inForce.least(share)
	l.holder.Change(now, a, t.inForce)
}

// raise puts larger shares in force once every holder has folded the contract,
// and returns the holders of which that is not yet known.
func (l *lender) raise(now time.Time, d Duties) []galenastair.Peer {
	unknown := make(map[galenastair.Peer]bool)
	for a, t := range l.terms {
		if !l.holder.Has(a) || !t.pending(a) {
			continue
		}
		if l.allFolded(d, a, t, unknown) {
			t.inForce = t.share(a)
			l.holder.Change(now, a, t.inForce)
		}
	}
	peers := make([]galenastair.Peer, 0, len(unknown))
	for p := range unknown {
		peers = append(peers, p)
	}
	return peers
}

func (l *lender) allFolded(d Duties, a Account, t *terms, unknown map[galenastair.Peer]bool) bool {
	all := true
	for slot := range Slot(Holders) {
		p, ok := d.Owner(Account{a.Organisation, slot})
		if !ok || p.ID == d.Self().ID {
			continue
		}
		if l.folded[p.ID] <= t.contract.Offset {
			unknown[p] = true
			all = false
		}
	}
	return all
}
