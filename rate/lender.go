package rate

import (
	"sync"
	"time"

	"galenastair"
)

// lender is this instance as a holder: it opens, changes and drops accounts as
// duties and contracts move, and answers entries.
type lender struct {
	duties    func() Duties
	contracts func() Contracts

	// polling is held by the one call of poll that runs; slots and seen are
	// written under it, seen with mu held as well.
	polling sync.Mutex
	slots   map[galenastair.Organisation][]Slot

	mu     sync.Mutex
	holder *Holder
	terms  map[Account]*terms
	handed map[Account]*handed
	seen   seen
	// folded is how far other instances are known to have folded the configuration.
	folded map[galenastair.InstanceID]galenastair.Offset
}

// seen is what the accounts were last matched to.
type seen struct {
	epoch       galenastair.Epoch
	incarnation int64
	offset      galenastair.Offset
}

func newLender(duties func() Duties, contracts func() Contracts) *lender {
	return &lender{
		duties:    duties,
		contracts: contracts,
		holder:    NewHolder(),
		terms:     make(map[Account]*terms),
		handed:    make(map[Account]*handed),
		folded:    make(map[galenastair.InstanceID]galenastair.Offset),
	}
}

// lend answers one request for a loan.
//
// The duty and the lease are checked right before. If the process is paused
// between this check and its answer, the loan still ends LoanTerm after it was
// asked for, which the next holder waits out: no pause lends tokens twice.
func (l *lender) lend(now time.Time, ask Ask) Offer {
	l.mu.Lock()
	defer l.mu.Unlock()
	d := l.duties()
	if l.mayHaveMoved(d) || !l.serves(now, d, ask.Account) {
		return Offer{}
	}
	return l.holder.Lend(now, ask)
}

// settle takes in reports; they need no lease, since they only end what was lent.
func (l *lender) settle(now time.Time, reports ...Report) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range reports {
		l.holder.Settle(now, r)
	}
}

// poll brings the accounts up to date and returns the instances whose folded
// offset must be known before a larger share can take effect, and the accounts that
// have moved to others.
func (l *lender) poll(now time.Time) (unknown []galenastair.Peer, released []Handover) {
	l.polling.Lock()
	defer l.polling.Unlock()
	d, c := l.duties(), l.contracts()
	next := seen{d.Epoch(), d.Incarnation(), c.Offset()}
	var owned map[Account]Contract
	if next != l.seen {
		// ranking members for thousands of organisations takes too long to hold the lock
		owned = l.owned(d, c)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if owned != nil {
		released = l.match(now, d, next, owned)
	}
	l.holder.Expire(now)
	l.openHanded(now, d)
	l.openServed(now, d)
	return l.raise(now, d), released
}

// match drops accounts that have moved away, which it returns, and takes in changed contracts.
func (l *lender) match(now time.Time, d Duties, next seen, owned map[Account]Contract) (released []Handover) {
	all := l.mayHaveMoved(d)
	for a := range l.terms {
		if _, ok := owned[a]; ok && !all {
			continue
		}
		if h, ok := l.release(now, d, a); ok {
			released = append(released, h)
		}
	}
	for a, contract := range owned {
		l.take(now, a, contract)
	}
	l.seen = next
	return released
}

// mayHaveMoved says whether an account may have been another's in an epoch that
// went by unseen, and come back: what is left of it then is no longer true.
func (l *lender) mayHaveMoved(d Duties) bool {
	if d.Incarnation() != l.seen.incarnation {
		return true
	}
	return d.Epoch() != l.seen.epoch && d.Epoch() != l.seen.epoch+1
}

// owned lists the accounts that the epoch gives to this instance.
func (l *lender) owned(d Duties, c Contracts) map[Account]Contract {
	if l.slots == nil || d.Epoch() != l.seen.epoch || d.Incarnation() != l.seen.incarnation {
		l.slots = make(map[galenastair.Organisation][]Slot)
	}
	owned := make(map[Account]Contract)
	for _, o := range c.Organisations() {
		contract, ok := c.Contract(o)
		if !ok {
			continue
		}
		for _, slot := range l.slotsOf(d, o) {
			owned[Account{o, slot}] = contract
		}
	}
	return owned
}

// slotsOf remembers the slots of an organisation until the epoch changes: most
// changes are of contracts alone.
func (l *lender) slotsOf(d Duties, o galenastair.Organisation) []Slot {
	slots, known := l.slots[o]
	if known {
		return slots
	}
	for slot := range Slot(Holders) {
		if p, ok := d.Owner(Account{o, slot}); ok && p.ID == d.Self().ID {
			slots = append(slots, slot)
		}
	}
	l.slots[o] = slots
	return slots
}

func (l *lender) openServed(now time.Time, d Duties) {
	for a, t := range l.terms {
		if !l.holder.Has(a) && d.Serves(a, now) {
			t.inForce = t.share(a)
			l.holder.Open(now, a, t.inForce)
			// its former holder's word comes too late: what it left may have been lent since
			l.handed[a] = &handed{Handover{Account: a, Epoch: d.Epoch()}, true}
		}
	}
}

// learn notes how far another instance has folded the configuration.
func (l *lender) learn(id galenastair.InstanceID, folded galenastair.Offset) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.folded[id] = max(l.folded[id], folded)
}
