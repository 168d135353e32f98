package quota

import (
	"time"

	"galenastair"
	"galenastair/catalog"
)

// Lender keeps what the instances have passed on of their parts of all quotas, and lends
// it. Its owner keeps it to one goroutine.
//
// Failure guarded against: an instance that is cut off spends its own part while the
// lender lends it out as well, or a second lender begins while the first still lends. It
// shows as an organisation that gets more than its contract. Here nothing comes in by
// time alone: an instance says for how long it has left its part to the lender, each
// moment is passed on to one lender at most, and what a lost message carried is lost.
type Lender struct {
	terms    Terms
	accounts map[galenastair.Organisation]*credit
	heard    map[galenastair.InstanceID]holder
	began    time.Time
	// known is the largest fleet that anybody knew of before this term.
	known int
	// noted are the moderate organisations of the note that stands on the platform, and
	// moderate those that instances are told of; version changes with the latter.
	noted, moderate []galenastair.Organisation
	version         int64
	// epoch is when it was first asked anything.
	epoch time.Time
}

// holder is an instance that has been heard in this term, and its part of the quotas: what
// it said last, or what it was told since, if that came through.
type holder struct {
	at         time.Time
	said, told Part
}

// credit is what there is to lend for one organisation.
type credit struct {
	bucket
	moderation
	// largest is the most that one request may take.
	largest float64
}

// NewLender returns a lender that has nothing to lend.
func NewLender(t Terms) *Lender {
	return &Lender{terms: t, accounts: map[galenastair.Organisation]*credit{}, heard: map[galenastair.InstanceID]holder{}}
}

// SetContracts takes the organisations' quotas; a lower one binds at once.
func (l *Lender) SetContracts(c *catalog.Catalog) {
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
		a.set(l.terms.Lending(o))
		a.largest = l.terms.Most(o)
	})
	for name := range l.accounts {
		if !seen[name] {
			delete(l.accounts, name)
		}
	}
}

// Reset begins a term, with nothing to lend: the lender before may have lent all that had
// come in. The note is what it left on the platform: the instances named there
// count as heard, so that one that is cut off as the term begins keeps its part.
func (l *Lender) Reset(now time.Time, n Note) {
	for _, a := range l.accounts {
		a.level = 0
		a.moderation = moderation{}
	}
	clear(l.heard)
	part := equalPart(len(n.Instances))
	for _, id := range n.Instances {
		l.heard[id] = holder{now, part, part}
	}
	l.began, l.known = now, len(n.Instances)
	l.noted, l.moderate, l.version = nil, nil, now.UnixNano()
}

// mostPassed bounds what one exchange passes on; instances exchange each 0.6 s at least.
const mostPassed = 2 * time.Second

// Heard takes in what an instance passes on of its part, and returns how it stands from
// now on; nothing, which leaves it as it is, while too little of the term has gone by.
func (l *Lender) Heard(now time.Time, id galenastair.InstanceID, p Passed) Standing {
	l.forget(now)
	l.known = max(l.known, p.Fleet)
	l.heard[id] = holder{now, p.Part, p.Part}
	fleet := l.Fleet(now)
	if p.Fleet == 0 {
		p.Part = equalPart(fleet)
	}
	l.credit(now, p)
	if l.counting(now) {
		return l.withModerate(p, Standing{})
	}
	told := l.deal(now, id)
	l.heard[id] = holder{now, p.Part, told}
	return l.withModerate(p, Standing{Fleet: fleet, Part: told})
}

// Counted says whether enough of the term has gone by to know how many instances there are.
func (l *Lender) Counted(now time.Time) bool { return !l.began.IsZero() && !l.counting(now) }

// counting says that too little of the term has gone by to know how many there are.
func (l *Lender) counting(now time.Time) bool {
	return now.Sub(l.began) < firstCount || l.known == 0 && now.Sub(l.began) < firstStart
}

// withModerate adds who is moderate, if the instance knows otherwise.
func (l *Lender) withModerate(p Passed, s Standing) Standing {
	s.Version = l.version
	if p.Version != l.version {
		s.Moderate = l.moderate
	}
	return s
}

// deal returns the part that an instance may have.
//
// Failure guarded against: an instance comes, or is back after it was given up, and the
// others are cut off before they hear of it. They go on by a smaller fleet, and the parts
// are more than the whole for as long as they are alone. So the newcomer gets only what
// the others do not hold, until each of them has been heard.
func (l *Lender) deal(now time.Time, id galenastair.InstanceID) Part {
	fleet := l.Fleet(now)
	held := Part(fleet-len(l.heard)) * equalPart(l.known)
	for other, h := range l.heard {
		if other != id {
			held += max(h.said, h.told)
		}
	}
	return max(0, min(1-held, equalPart(fleet)))
}

func (l *Lender) forget(now time.Time) {
	for id, h := range l.heard {
		if now.Sub(h.at) > missedFor {
			delete(l.heard, id)
		}
	}
}

// Fleet returns how many instances there are, as far as is known by now.
func (l *Lender) Fleet(now time.Time) int {
	if now.Sub(l.began) < missedFor {
		// without a note, those that were told how many there are still know it
		return max(len(l.heard), l.known)
	}
	return len(l.heard)
}

// credit takes in a part for a time, less what was granted in advance of it.
func (l *Lender) credit(now time.Time, p Passed) {
	for name, a := range l.accounts {
		passed := max(0, min(p.Time, mostPassed)-p.Advanced[name]).Seconds() * float64(p.Part)
		a.add(a.rate * passed)
		l.slot(now, a).passed += passed
	}
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
		b.add(-a.Amount)
		l.slot(now, b).lent += a.Amount
		return 0
	}
	wants := min(a.Amount, b.level-keptBack*b.most)
	n := b.upTo(min(wants, l.room(now, b, wants)))
	l.slot(now, b).lent += n
	return n
}

// LendAll lends an ask whole or not at all: a part would not carry a request.
func (l *Lender) LendAll(now time.Time, a Ask) float64 {
	b := l.accounts[a.Organisation]
	if b == nil || l.room(now, b, a.Amount) < a.Amount || !b.takeWhole(a.Amount, b.largest) {
		return 0
	}
	l.slot(now, b).lent += a.Amount
	return a.Amount
}
