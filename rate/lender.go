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

	mu     sync.Mutex
	holder *Holder
	terms  map[Account]*terms
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
	if !l.duties().Serves(ask.Account, now) {
		return Offer{}
	}
	l.match(now)
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
// offset must be known before a larger share can take effect.
func (l *lender) poll(now time.Time) []Peer {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.match(now)
	l.holder.Expire(now)
	d := l.duties()
	l.openServed(now, d)
	return l.raise(now, d)
}

// match drops accounts that have moved away and takes in changed contracts.
func (l *lender) match(now time.Time) {
	d, c := l.duties(), l.contracts()
	next := seen{d.Epoch(), d.Incarnation(), c.Offset()}
	if next == l.seen {
		return
	}
	if l.mayHaveMoved(next) {
		l.dropAll()
	}
	owned := l.owned(d, c)
	for a := range l.terms {
		if _, ok := owned[a]; !ok {
			l.drop(a)
		}
	}
	for a, contract := range owned {
		l.take(now, a, contract)
	}
	l.seen = next
}

// mayHaveMoved says whether an account may have been another's in an epoch that
// went by unseen, and come back: what is left of it then is no longer true.
func (l *lender) mayHaveMoved(next seen) bool {
	if next.incarnation != l.seen.incarnation {
		return true
	}
	return next.epoch != l.seen.epoch && next.epoch != l.seen.epoch+1
}

func (l *lender) owned(d Duties, c Contracts) map[Account]Contract {
	owned := make(map[Account]Contract)
	for _, o := range c.Organisations() {
		contract, ok := c.Contract(o)
		if !ok {
			continue
		}
		for slot := range Slot(Holders) {
			a := Account{o, slot}
			if p, ok := d.Owner(a); ok && p.ID == d.Self().ID {
				owned[a] = contract
			}
		}
	}
	return owned
}

func (l *lender) drop(a Account) {
	delete(l.terms, a)
	l.holder.Drop(a)
}

func (l *lender) dropAll() {
	for a := range l.terms {
		l.drop(a)
	}
}

func (l *lender) openServed(now time.Time, d Duties) {
	for a, t := range l.terms {
		if !l.holder.Has(a) && d.Serves(a, now) {
			t.inForce = t.share(a)
			l.holder.Open(now, a, t.inForce)
		}
	}
}

// learn notes how far another instance has folded the configuration.
func (l *lender) learn(id galenastair.InstanceID, folded galenastair.Offset) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.folded[id] = max(l.folded[id], folded)
}
