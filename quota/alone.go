package quota

import (
	"time"

	"galenastair"
)

// updateLocalBucket sets the rate and size of an account's local bucket to this instance's
// fraction.
func (b *Borrower) updateLocalBucket(now time.Time, a *account) {
	fraction := float64(b.fraction)
	a.local.refill(now)
	rate := a.rate * fraction
	if now.Sub(b.fallbackSince) > b.fullFractionPeriod() {
		rate *= fallbackReducedRate
	}
	size := a.local.capacityFor(a.capacity*fraction, a.largestCost)
	size += a.rate * fraction * max(0, a.advancedUntil.Sub(now)).Seconds()
	a.local.set(rate, size)
}

// fullFractionPeriod returns how long this process spends its whole fraction in fallback.
func (b *Borrower) fullFractionPeriod() time.Duration {
	if b.lenderAnswered.IsZero() {
		return startupFullPeriod
	}
	return fallbackFullPeriod
}

// endFallback returns an account to the lender. A debt of the local bucket is kept for the next
// fallback. What the bucket holds for the next lenderWarmup, or in advance, becomes a loan,
// because the lender has little to lend before the next exchange. The rest, and any loan that has
// expired, is dropped: it was earned seconds ago and would be a second burst beside the lender's
// full bucket.
func (b *Borrower) endFallback(now time.Time, a *account) {
	b.updateLocalBucket(now, a)
	if !now.Before(a.loanExpires) {
		a.loan = 0
	}
	ahead := a.rate * float64(b.fraction) * max(lenderWarmup, a.advancedUntil.Sub(now)).Seconds()
	if n := min(a.local.level, ahead); n > 0 {
		a.addLoan(now, n, lenderWarmup)
	}
	a.local.level = min(a.local.level, 0)
	a.local.filledUntil = time.Time{}
	a.fallback = false
}

// checkLenderTimeout starts the fallback if the lender has not answered within lenderTimeout.
func (b *Borrower) checkLenderTimeout(now time.Time) {
	if !b.lenderAnswered.IsZero() && now.Sub(b.lenderAnswered) >= lenderTimeout {
		b.startFallback(now)
	}
}

// ReportLenderUnavailable records that the lender did not answer or has given up its role, and
// starts the fallback at once. Waiting until the loss is certain would refuse every request for a
// second or two at each change of lender, and the fraction of one instance is small for that time.
func (b *Borrower) ReportLenderUnavailable(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.startFallback(now)
}

func (b *Borrower) startFallback(now time.Time) {
	if !b.fallback && b.allocated {
		b.fallbackSince, b.allocated = now, false
	}
	b.fallback = true
	for name, a := range b.accounts {
		b.enterFallback(now, name, a)
	}
}

// enterFallback lets an account's local bucket be spent. The bucket starts with an advance on
// future tokens, or with a fraction of the reserve, but with only one of them per window.
func (b *Borrower) enterFallback(now time.Time, name galenastair.Organisation, a *account) {
	b.updateLocalBucket(now, a)
	if a.fallback {
		return
	}
	a.fallback = true
	if a.fallbackGrantAt.IsZero() {
		a.local.phase = b.random()
	}
	if b.lowUsage[name] {
		delete(b.lowUsage, name)
		granted := b.advanceAllowed()
		a.advancedUntil = now.Add(granted)
		b.updateLocalBucket(now, a)
		a.local.add(a.rate * float64(b.fraction) * granted.Seconds())
		a.local.filledUntil = a.advancedUntil
		a.fallbackGrantAt = now
		return
	}
	if now.Sub(a.fallbackGrantAt) > b.tolerance.Window && !now.Before(b.reserveFrom) {
		a.local.add(a.reserve * float64(b.fraction))
		a.fallbackGrantAt = now
	}
}

// advanceAllowed returns how much time's worth of tokens this process may grant in advance.
func (b *Borrower) advanceAllowed() time.Duration {
	if b.lenderAnswered.IsZero() {
		return startupAdvancePeriod
	}
	return advancePeriod
}
