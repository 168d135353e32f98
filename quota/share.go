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
	// loanTTL is how long a loan may be spent: several exchanges, and far below the window over
	// which quotas are enforced.
	loanTTL = 1200 * time.Millisecond
	// prefetchPeriod is how far ahead of its demand a busy instance borrows.
	prefetchPeriod = 450 * time.Millisecond
	// prefetchMinRequests is how many requests must be expected in prefetchPeriod. With fewer,
	// most of what is borrowed ahead would expire while other instances need it.
	prefetchMinRequests = 4
	// lenderWarmup is how long an instance that has found a lender may spend what it holds
	// locally, while the lender's bucket fills.
	lenderWarmup = 400 * time.Millisecond
	// demandTimeConstant smooths the demand. A burst shows within one or two exchanges.
	demandTimeConstant = time.Second
	// defaultFleet is the number of instances assumed before it is known. Too high a number
	// refuses some requests in the first second; too low a number would grant more than the quota.
	defaultFleet = 16
	// denialTTL is the longest time for which an organisation over its quota does not ask the
	// lender again. Without it a busy one would ask for each of its requests.
	denialTTL = 50 * time.Millisecond
)

// LoanRequest asks for an amount for an organisation; a negative amount returns a loan.
type LoanRequest struct {
	Organisation galenastair.Organisation
	Amount       float64
}

// Borrower is the quota state of one instance: the loans that it holds, and its own fraction of
// all quotas for the time when no lender answers.
type Borrower struct {
	tolerance Tolerance
	// random draws a number in [0, 1).
	random func() float64

	mu       sync.Mutex
	accounts map[galenastair.Organisation]*account
	// fleet is 0 until it is known.
	fleet          int
	fraction       Fraction
	lenderAnswered time.Time
	fallback       bool
	// fallbackSince is when the first fallback after the last allocation began, and allocated
	// reports whether a lender has sent an allocation since then.
	fallbackSince time.Time
	allocated     bool
	// contributedUntil is the time up to which the fraction was contributed to a lender or spent
	// locally.
	contributedUntil time.Time
	// reserveFrom is the time from which a fallback may start with a fraction of the reserve.
	reserveFrom time.Time
	// lowUsage lists the organisations for which this instance may grant in advance, once for each
	// time that a lender lists them.
	lowUsage map[galenastair.Organisation]bool
	version  int64
}

// account is one organisation's quota at this instance.
type account struct {
	// rate, in tokens per second, and capacity are those of all instances together.
	rate, capacity float64
	// reserve is what all instances together may start a fallback with, once per window.
	reserve         float64
	fallbackGrantAt time.Time
	fallback        bool
	// local is spent in fallback. Until advancedUntil it holds tokens granted in advance.
	local         localBucket
	advancedUntil time.Time
	loan          float64
	loanExpires   time.Time
	demand        float64
	demandAt      time.Time
	largestCost   float64
	// deniedUntil is the time until which the lender is not asked again.
	deniedUntil time.Time
}

// BorrowerOption configures a Borrower.
type BorrowerOption func(*Borrower)

// WithRandom replaces the random source, which returns numbers in [0, 1).
func WithRandom(f func() float64) BorrowerOption { return func(b *Borrower) { b.random = f } }

// NewBorrower returns a borrower without contracts.
func NewBorrower(t Tolerance, opts ...BorrowerOption) *Borrower {
	b := &Borrower{tolerance: t, random: rand.Float64, accounts: map[galenastair.Organisation]*account{}, fraction: equalFraction(defaultFleet), allocated: true,
		lowUsage: map[galenastair.Organisation]bool{}}
	for _, o := range opts {
		o(b)
	}
	return b
}

// SetContracts sets the organisations' quotas from a version of the configuration.
func (b *Borrower) SetContracts(now time.Time, c *catalog.Catalog) {
	b.mu.Lock()
	defer b.mu.Unlock()
	seen := map[galenastair.Organisation]bool{}
	c.ForEachOrganisation(func(o *catalog.Organisation) {
		if o.Rate <= 0 {
			return
		}
		seen[o.Name] = true
		a := b.accounts[o.Name]
		if a == nil {
			a = &account{}
			b.accounts[o.Name] = a
		}
		rate, capacity := b.tolerance.LendingBucket(o)
		if rate < a.rate || capacity < a.capacity {
			// what was lent under the higher limit must not be spent under the lower one
			a.loan = 0
		}
		a.rate, a.capacity, a.reserve = rate, capacity, b.tolerance.reserve(o)
		if b.fallback {
			b.enterFallback(now, o.Name, a)
		}
	})
	for name := range b.accounts {
		if !seen[name] {
			delete(b.accounts, name)
		}
	}
}

// addLoan adds to the loan and sets its expiry; an expired loan is dropped first.
func (a *account) addLoan(now time.Time, amount float64, life time.Duration) {
	if !now.Before(a.loanExpires) {
		a.loan = 0
	}
	a.loan += amount
	a.loanExpires = now.Add(life)
}

// FleetSize returns the number of instances, or defaultFleet if it is not known.
func (b *Borrower) FleetSize() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.fleet == 0 {
		return defaultFleet
	}
	return b.fleet
}

// ReportedFleetSize returns the number of instances that a lender or a checkpoint has named; 0 if
// none has.
func (b *Borrower) ReportedFleetSize() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.fleet
}

// InFallback reports whether this instance spends its own fraction because no lender answers.
func (b *Borrower) InFallback() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.fallback
}

// Take charges an organisation; it returns false if this instance holds too little.
func (b *Borrower) Take(now time.Time, o galenastair.Organisation, cost float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.accounts[o]
	if a == nil {
		return true
	}
	b.checkLenderTimeout(now)
	a.largestCost = max(cost, a.largestCost*0.95)
	if b.fallback {
		b.updateLocalBucket(now, a)
	}
	return b.take(now, a, cost)
}

// RetryTake charges an organisation again, after a loan.
func (b *Borrower) RetryTake(now time.Time, o galenastair.Organisation, cost float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.accounts[o]
	return a == nil || b.take(now, a, cost)
}

// take spends the loan first, since it expires. One charge may use both loan and local bucket.
func (b *Borrower) take(now time.Time, a *account, cost float64) bool {
	loan := a.loan
	if !now.Before(a.loanExpires) {
		loan = 0
	}
	fromLoan := min(loan, cost)
	if rest := cost - fromLoan; rest > 0 && (!b.fallback || !a.local.takeOnCredit(rest)) {
		return false
	}
	a.loan -= fromLoan
	a.recordDemand(now, cost)
	return true
}

// recordDemand counts what was granted. Refused requests do not count: an organisation that asks
// for many times its rate would otherwise have all its tokens borrowed ahead and held by one
// instance.
func (a *account) recordDemand(now time.Time, cost float64) {
	a.demand = a.demandNow(now) + cost/demandTimeConstant.Seconds()
	a.demandAt = now
}

// demandNow returns the smoothed demand that was granted, in units per second.
func (a *account) demandNow(now time.Time) float64 {
	if a.demandAt.IsZero() {
		return 0
	}
	return a.demand * math.Exp(-now.Sub(a.demandAt).Seconds()/demandTimeConstant.Seconds())
}

// LoanRequests returns what to borrow ahead of demand, and returns expired loans.
func (b *Borrower) LoanRequests(now time.Time) []LoanRequest {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []LoanRequest
	for name, a := range b.accounts {
		if a.loan > 0 && !now.Before(a.loanExpires) {
			out = append(out, LoanRequest{name, -a.loan})
			a.loan = 0
		}
		want := a.demandNow(now) * prefetchPeriod.Seconds()
		if want < prefetchMinRequests*a.largestCost || want <= a.loan {
			continue
		}
		out = append(out, LoanRequest{name, want - a.loan})
	}
	return out
}

// Shortfall returns how much an organisation's loan lacks for a request; false if the lender has
// denied a loan within denialTTL.
func (b *Borrower) Shortfall(now time.Time, o galenastair.Organisation, cost float64) (float64, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.accounts[o]
	if a == nil || now.Before(a.deniedUntil) {
		return 0, false
	}
	if !now.Before(a.loanExpires) {
		return cost, true
	}
	return max(0, cost-a.loan), true
}

// AddLoan adds a loan. An empty loan keeps the next requests from asking the lender.
func (b *Borrower) AddLoan(now time.Time, o galenastair.Organisation, amount float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.accounts[o]
	if a == nil {
		return
	}
	if amount <= 0 {
		// the time in which the rate earns the cost of a request
		wait := time.Duration(a.largestCost / a.rate * float64(time.Second))
		a.deniedUntil = now.Add(min(denialTTL, wait))
		return
	}
	a.addLoan(now, amount, loanTTL)
}

// RetryAfter estimates when an organisation over its quota has room for a request: twice the
// time in which its rate earns the cost, as other requests probably wait too.
func (b *Borrower) RetryAfter(o galenastair.Organisation, cost float64) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.accounts[o]
	if a == nil || a.rate <= 0 {
		return 0
	}
	return time.Duration(2 * cost / a.rate * float64(time.Second))
}
