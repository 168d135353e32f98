package quota

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"galenastair"
	"galenastair/catalog"
)

const (
	// loanLife is how long a loan may be spent: some exchanges, and far below the
	// window in which quotas are counted.
	loanLife = 1200 * time.Millisecond
	// ahead is for how long a busy instance borrows ahead of its demand.
	ahead = 450 * time.Millisecond
	// aheadRequests is how many requests must be expected in that time: below it, what
	// is borrowed ahead mostly goes void while others lack it.
	aheadRequests = 4
	// untilLent is until when an instance needs what it holds after it has found a lender, whose
	// bucket fills meanwhile.
	untilLent = 400 * time.Millisecond
	// demandMemory smooths the demand; a burst is seen within an exchange or two.
	demandMemory = time.Second
	// firstFleet is the number of instances presumed before anybody tells it; too high
	// refuses a little in the first second, too low would mint.
	firstFleet = 16
	// deniedFor is the longest that an organisation over its quota is kept from asking
	// the lender again: a hot one would ask for each of its requests.
	deniedFor = 50 * time.Millisecond
)

// Ask is what an instance would like to borrow for an organisation; a negative amount
// goes back.
type Ask struct {
	Organisation galenastair.Organisation
	Amount       float64
}

// Share is one instance's part of all quotas.
type Share struct {
	terms Terms
	// chance draws a number from 0 up to 1.
	chance func() float64

	mu       sync.Mutex
	accounts map[galenastair.Organisation]*account
	// fleet is 0 before anybody tells it.
	fleet int
	part  Part
	heard time.Time
	alone bool
	// since is when it began to be alone after a lender had last dealt it its part, and dealt
	// that one has since.
	since time.Time
	dealt bool
	// passed is up to when its part was passed on to a lender, or spent alone.
	passed time.Time
	// reserveFrom is from when it may begin with a part of the reserve.
	reserveFrom time.Time
	// moderate are the organisations for which this instance may grant in advance, each
	// once for each time that a lender says so.
	moderate map[galenastair.Organisation]bool
	version  int64
}

// account is one organisation's quota at this instance.
type account struct {
	// rate, in tokens a second, and most are those of all instances together.
	rate, most float64
	// reserve is what all instances together may begin alone with, once in a window.
	reserve  float64
	wasAlone time.Time
	alone    bool
	// own is spent while no lender answers; until advanced it holds what comes in later.
	own      ownBucket
	advanced time.Time
	loan     float64
	loanEnds time.Time
	demand   float64
	demandAt time.Time
	largest  float64
	// denied is until when the lender has nothing for it.
	denied time.Time
}

// ShareOption varies a Share.
type ShareOption func(*Share)

// WithChance replaces the source of chance, which draws from 0 up to 1.
func WithChance(f func() float64) ShareOption { return func(s *Share) { s.chance = f } }

// NewShare returns a share without contracts.
func NewShare(t Terms, opts ...ShareOption) *Share {
	s := &Share{terms: t, chance: rand.Float64, accounts: map[galenastair.Organisation]*account{}, part: equalPart(firstFleet), dealt: true,
		moderate: map[galenastair.Organisation]bool{}}
	for _, o := range opts {
		o(s)
	}
	return s
}

// SetContracts takes the organisations' quotas from a version of the configuration.
func (s *Share) SetContracts(now time.Time, c *catalog.Catalog) {
	s.mu.Lock()
	defer s.mu.Unlock()
	seen := map[galenastair.Organisation]bool{}
	c.Organisations(func(o *catalog.Organisation) {
		if o.Rate <= 0 {
			return
		}
		seen[o.Name] = true
		a := s.accounts[o.Name]
		if a == nil {
			a = &account{}
			s.accounts[o.Name] = a
		}
		rate, most := s.terms.Lending(o)
		if rate < a.rate || most < a.most {
			// what was lent under the higher limit must not be spent under the lower
			a.loan = 0
		}
		a.rate, a.most, a.reserve = rate, most, s.terms.reserve(o)
		if s.alone {
			s.beginAlone(now, o.Name, a)
		}
	})
	for name := range s.accounts {
		if !seen[name] {
			delete(s.accounts, name)
		}
	}
}

// lend adds to the loan, for a time; one that has ended is not spent any more.
func (a *account) lend(now time.Time, amount float64, life time.Duration) {
	if !now.Before(a.loanEnds) {
		a.loan = 0
	}
	a.loan += amount
	a.loanEnds = now.Add(life)
}

// Fleet returns the number of instances, as far as is known.
func (s *Share) Fleet() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fleet == 0 {
		return firstFleet
	}
	return s.fleet
}

// Told returns the number of instances that a lender has told; 0 if none has.
func (s *Share) Told() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fleet
}

// Alone says whether this instance spends its own part, since no lender answers.
func (s *Share) Alone() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.alone
}

// Take charges an organisation; false if this instance holds too little right now.
func (s *Share) Take(now time.Time, o galenastair.Organisation, cost float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.accounts[o]
	if a == nil {
		return true
	}
	s.noticeSilence(now)
	a.largest = max(cost, a.largest*0.95)
	if s.alone {
		s.deal(now, a)
	}
	return s.take(now, a, cost)
}

// Retake charges once more after a loan.
func (s *Share) Retake(now time.Time, o galenastair.Organisation, cost float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.accounts[o]
	return a == nil || s.take(now, a, cost)
}

// take spends the loan first, since it goes void; a charge may use both.
func (s *Share) take(now time.Time, a *account, cost float64) bool {
	loan := a.loan
	if !now.Before(a.loanEnds) {
		loan = 0
	}
	fromLoan := min(loan, cost)
	if rest := cost - fromLoan; rest > 0 && (!s.alone || !a.own.grant(rest)) {
		return false
	}
	a.loan -= fromLoan
	a.note(now, cost)
	return true
}

// note counts what was granted. What was refused does not count: an organisation that
// asks for many times its rate would have all that comes in borrowed ahead, and kept.
func (a *account) note(now time.Time, cost float64) {
	a.demand = a.demandNow(now) + cost/demandMemory.Seconds()
	a.demandAt = now
}

// demandNow is the demand that was granted, in units a second, smoothed.
func (a *account) demandNow(now time.Time) float64 {
	if a.demandAt.IsZero() {
		return 0
	}
	return a.demand * math.Exp(-now.Sub(a.demandAt).Seconds()/demandMemory.Seconds())
}

// Asks returns what to borrow for the next moment, and gives back what has gone void.
func (s *Share) Asks(now time.Time) []Ask {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []Ask
	for name, a := range s.accounts {
		if a.loan > 0 && !now.Before(a.loanEnds) {
			out = append(out, Ask{name, -a.loan})
			a.loan = 0
		}
		want := a.demandNow(now) * ahead.Seconds()
		if want < aheadRequests*a.largest || want <= a.loan {
			continue
		}
		out = append(out, Ask{name, want - a.loan})
	}
	return out
}

// Lacks returns what an organisation's loan lacks for a request; false if the lender
// has just denied it.
func (s *Share) Lacks(now time.Time, o galenastair.Organisation, cost float64) (float64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.accounts[o]
	if a == nil || now.Before(a.denied) {
		return 0, false
	}
	if !now.Before(a.loanEnds) {
		return cost, true
	}
	return max(0, cost-a.loan), true
}

// Lent takes in a loan; a loan of nothing keeps the next requests from asking.
func (s *Share) Lent(now time.Time, o galenastair.Organisation, amount float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.accounts[o]
	if a == nil {
		return
	}
	if amount <= 0 {
		// by then its rate has brought what a request takes
		wait := time.Duration(a.largest / a.rate * float64(time.Second))
		a.denied = now.Add(min(deniedFor, wait))
		return
	}
	a.lend(now, amount, loanLife)
}

// Wait foretells when an organisation over its quota has room for a request: the time
// in which its rate brings the cost, for as many as probably wait for it too.
func (s *Share) Wait(o galenastair.Organisation, cost float64) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.accounts[o]
	if a == nil || a.rate <= 0 {
		return 0
	}
	return time.Duration(2 * cost / a.rate * float64(time.Second))
}
