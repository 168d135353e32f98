package quota

import (
	"time"

	"galenastair"
	"galenastair/catalog"
)

// Lender keeps the organisations' buckets. Its owner keeps it to one goroutine, and
// asks it only while it holds the duty.
type Lender struct {
	terms    Terms
	accounts map[galenastair.Organisation]*credit
	heard    map[galenastair.InstanceID]time.Time
	began    time.Time
	// told is the largest fleet that an instance was told of before this term.
	told int
}

type credit struct {
	bucket
	// fullRate and fullSize are those of a bucket with no instance missed, and largest is the
	// most that one request may take; first is what it holds as a term begins.
	fullRate, fullSize, largest, first float64
}

// NewLender returns a lender whose buckets are empty.
func NewLender(t Terms) *Lender {
	return &Lender{terms: t, accounts: map[galenastair.Organisation]*credit{}, heard: map[galenastair.InstanceID]time.Time{}}
}

// SetContracts takes the organisations' quotas.
func (l *Lender) SetContracts(now time.Time, c *catalog.Catalog) {
	seen := map[galenastair.Organisation]bool{}
	c.Organisations(func(o *catalog.Organisation) {
		if o.Rate <= 0 {
			return
		}
		seen[o.Name] = true
		a := l.accounts[o.Name]
		if a == nil {
			a = &credit{}
			l.accounts[o.Name] = a
		}
		a.fullRate, a.fullSize = l.terms.lending(o)
		a.largest = l.terms.most(o)
		a.first = l.terms.first(o)
		l.deal(now, a)
	})
	for name := range l.accounts {
		if !seen[name] {
			delete(l.accounts, name)
		}
	}
}

// deal leaves out of the lending what missed instances may spend on their own.
func (l *Lender) deal(now time.Time, a *credit) {
	lent := 1 - ownPart*l.missed(now)
	a.set(now, a.fullRate*lent, a.fullSize*lent)
}

// missed is the part of the fleet that may be alive and alone.
func (l *Lender) missed(now time.Time) float64 {
	here, missed := 0, 0
	for _, at := range l.heard {
		if now.Sub(at) < silentAfter {
			here++
		} else {
			missed++
		}
	}
	if now.Sub(l.began) < missedFor {
		// those of the last term that have not come yet
		missed = max(missed, l.told-here)
	}
	if here+missed == 0 {
		return 0
	}
	return float64(missed) / float64(here+missed)
}

// Reset empties all buckets but for a part of the bounds, at the beginning of a term:
// the one before may have lent all that they would hold.
func (l *Lender) Reset(now time.Time) {
	for _, a := range l.accounts {
		a.fill(now)
		a.level = min(a.first, a.most)
	}
	clear(l.heard)
	l.began, l.told = now, 0
}

// Heard counts an instance, which was told of a fleet before, and returns how many
// there are; 0 while too little of the term has passed to know. A count of the first
// few would deal them all there is.
func (l *Lender) Heard(now time.Time, id galenastair.InstanceID, told int) int {
	l.heard[id] = now
	if told != firstFleet {
		l.told = max(l.told, told)
	}
	for other, at := range l.heard {
		if now.Sub(at) > missedFor {
			delete(l.heard, other)
		}
	}
	for _, a := range l.accounts {
		l.deal(now, a)
	}
	if now.Sub(l.began) < silentAfter {
		return 0
	}
	if now.Sub(l.began) < missedFor {
		// An instance that is cut off as the term begins is counted by those that knew
		// it. Told a fleet without it, each of the others would spend its part as well
		// when it is alone itself.
		return max(len(l.heard), l.told)
	}
	return len(l.heard)
}

// keptBack is the part of a bucket that is not lent ahead of need: else one busy
// instance holds all there is while the requests of the others are refused.
const keptBack = 0.1

// Lend returns how much of an ask ahead of need is lent; it takes back what an ask
// gives back.
func (l *Lender) Lend(now time.Time, a Ask) float64 {
	b := l.accounts[a.Organisation]
	if b == nil {
		return 0
	}
	if a.Amount < 0 {
		b.fill(now)
		b.level = min(b.most, b.level-a.Amount)
		return 0
	}
	b.fill(now)
	return b.upTo(now, min(a.Amount, b.level-keptBack*b.most))
}

// LendAll lends an ask whole or not at all: a part would not carry a request.
func (l *Lender) LendAll(now time.Time, a Ask) float64 {
	b := l.accounts[a.Organisation]
	// before the first report of a term nobody is known to be missed
	if b == nil || len(l.heard) == 0 || !b.takeWhole(now, a.Amount, b.largest) {
		return 0
	}
	return a.Amount
}
