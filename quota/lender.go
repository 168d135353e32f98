package quota

import (
	"time"

	"galenastair"
	"galenastair/catalog"
)

// heardFor is how long an instance that was heard counts; it exchanges a few times
// a second.
const heardFor = 2 * time.Second

// Lender lends the part of the quotas that is not dealt. Its owner keeps it to one
// goroutine, and asks it only while it holds the duty.
type Lender struct {
	accounts map[galenastair.Organisation]*bucket
	heard    map[galenastair.InstanceID]time.Time
	began    time.Time
}

// NewLender returns a lender whose buckets are empty.
func NewLender() *Lender {
	return &Lender{accounts: map[galenastair.Organisation]*bucket{}, heard: map[galenastair.InstanceID]time.Time{}}
}

// SetContracts takes the organisations' quotas.
func (l *Lender) SetContracts(now time.Time, c *catalog.Catalog) {
	seen := map[galenastair.Organisation]bool{}
	c.Organisations(func(o *catalog.Organisation) {
		seen[o.Name] = true
		b := l.accounts[o.Name]
		if b == nil {
			b = &bucket{}
			l.accounts[o.Name] = b
		}
		b.set(now, o.Rate*(1-dealt), o.Burst*(1-dealt))
	})
	for name := range l.accounts {
		if !seen[name] {
			delete(l.accounts, name)
		}
	}
}

// Reset empties all buckets, at the beginning of a term: the one before may have lent
// all that they would hold.
func (l *Lender) Reset(now time.Time) {
	for _, b := range l.accounts {
		b.fill(now)
		b.level = 0
	}
	clear(l.heard)
	l.began = now
}

// Heard counts an instance and returns how many there are; 0 while too little of the
// term has passed to know. A count of the first few would deal them all there is.
func (l *Lender) Heard(now time.Time, id galenastair.InstanceID) int {
	l.heard[id] = now
	for other, at := range l.heard {
		if now.Sub(at) > heardFor {
			delete(l.heard, other)
		}
	}
	if now.Sub(l.began) < heardFor {
		return 0
	}
	return len(l.heard)
}

// Lend returns how much of an ask is lent.
func (l *Lender) Lend(now time.Time, a Ask) float64 {
	b := l.accounts[a.Organisation]
	if b == nil {
		return 0
	}
	return b.upTo(now, a.Amount)
}
