package quota

import (
	"math"
	"sync"
	"time"

	"galenastair"
	"galenastair/catalog"
)

const (
	// dealt is the part of a quota that instances hold without asking. At half, an
	// organisation that uses half of its quota evenly meets no refusal while the lender
	// is away for seconds, and one whose callers all come to one instance still gets
	// half of it and its part of the other half.
	dealt = 0.5
	// loanLife is how long a loan may be spent: some exchanges, so that one that is
	// late costs nothing, and far below the window in which quotas are counted.
	loanLife = 1200 * time.Millisecond
	// ahead is for how long an instance borrows ahead of its demand.
	ahead = 700 * time.Millisecond
	// demandMemory smooths the demand; a burst is seen within an exchange or two.
	demandMemory = 500 * time.Millisecond
	// firstFleet is the number of instances presumed before the lender tells it; too
	// high refuses a little in the first second, too low would mint.
	firstFleet = 16
	// aloneAfter is how long without an exchange halves the own part: the lender no
	// longer counts an instance that it doesn't hear, and deals its part to the others.
	aloneAfter = 2500 * time.Millisecond
	// deniedFor keeps an organisation over its quota from asking the lender for each
	// request; a tenth of a second of its rate is less than the least slack.
	deniedFor = 100 * time.Millisecond
)

// Ask is what an instance would like to borrow for an organisation.
type Ask struct {
	Organisation galenastair.Organisation
	Amount       float64
}

// Share is one instance's part of all quotas.
type Share struct {
	mu       sync.Mutex
	accounts map[galenastair.Organisation]*account
	fleet    int
	heard    time.Time
	alone    bool
}

type account struct {
	rate, burst float64
	own         bucket
	loan        float64
	loanEnds    time.Time
	demand      float64
	demandAt    time.Time
	denied      time.Time
}

// NewShare returns a share without contracts.
func NewShare() *Share {
	return &Share{accounts: map[galenastair.Organisation]*account{}, fleet: firstFleet}
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
		if o.Rate < a.rate || o.Burst < a.burst {
			// what was lent under the higher limit must not be spent under the lower
			a.loan = 0
		}
		a.rate, a.burst = o.Rate, o.Burst
		s.deal(now, a)
	})
	for name := range s.accounts {
		if !seen[name] {
			delete(s.accounts, name)
		}
	}
}

// deal sets an account's own bucket to this instance's part.
func (s *Share) deal(now time.Time, a *account) {
	part := dealt / float64(max(1, s.fleet))
	if s.alone {
		part /= 2
	}
	a.own.set(now, a.rate*part, a.burst*part)
}

// SetFleet takes the number of instances that the lender counts, told just now; 0 is
// a lender that does not know yet.
func (s *Share) SetFleet(now time.Time, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heard = now
	if n == 0 || n == s.fleet && !s.alone {
		return
	}
	s.fleet, s.alone = n, false
	for _, a := range s.accounts {
		s.deal(now, a)
	}
}

// Fleet returns the number of instances that the quotas are dealt to.
func (s *Share) Fleet() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fleet
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
	a.note(now, cost)
	return a.take(now, cost)
}

// Retake charges once more after a loan, without counting the demand twice.
func (s *Share) Retake(now time.Time, o galenastair.Organisation, cost float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.accounts[o]
	return a == nil || a.take(now, cost)
}

func (s *Share) noticeSilence(now time.Time) {
	if s.alone || s.heard.IsZero() || now.Sub(s.heard) < aloneAfter {
		return
	}
	s.alone = true
	for _, a := range s.accounts {
		s.deal(now, a)
	}
}

// take spends the loan first, since it goes void; a charge may use both.
func (a *account) take(now time.Time, cost float64) bool {
	loan := a.loan
	if !now.Before(a.loanEnds) {
		loan = 0
	}
	fromLoan := min(loan, cost)
	if !a.own.take(now, cost-fromLoan) {
		return false
	}
	a.loan = loan - fromLoan
	return true
}

func (a *account) note(now time.Time, cost float64) {
	a.demand = a.demandNow(now) + cost/demandMemory.Seconds()
	a.demandAt = now
}

// demandNow is the demand in units a second, smoothed.
func (a *account) demandNow(now time.Time) float64 {
	if a.demandAt.IsZero() {
		return 0
	}
	return a.demand * math.Exp(-now.Sub(a.demandAt).Seconds()/demandMemory.Seconds())
}

// Asks returns what to borrow for the next moment.
func (s *Share) Asks(now time.Time) []Ask {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []Ask
	for name, a := range s.accounts {
		a.own.fill(now)
		have := a.own.level
		if now.Before(a.loanEnds) {
			have += a.loan
		}
		if want := a.demandNow(now)*ahead.Seconds() - have; want > 0 {
			out = append(out, Ask{name, want})
		}
	}
	return out
}

// MayAsk says whether the lender is worth asking for a single request, and notes it.
func (s *Share) MayAsk(now time.Time, o galenastair.Organisation) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.accounts[o]
	return a != nil && now.Sub(a.denied) >= deniedFor
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
		a.denied = now
		return
	}
	if !now.Before(a.loanEnds) {
		a.loan = 0
	}
	a.loan += amount
	a.loanEnds = now.Add(loanLife)
}

// Wait foretells when an organisation over its quota has room for a request: the time
// in which its whole rate brings the cost.
func (s *Share) Wait(o galenastair.Organisation, cost float64) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.accounts[o]
	if a == nil || a.rate <= 0 {
		return 0
	}
	return time.Duration(cost / a.rate * float64(s.fleet) * float64(time.Second))
}
