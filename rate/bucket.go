package rate

import (
	"time"

	"galenastair"
)

// unitsPerToken is the number of bucket units per token. A ShareRate times a duration
// in nanoseconds is a whole number of units, so that refilling accumulates no rounding
// error.
const unitsPerToken = int64(time.Second) * Holders

// maxBurst keeps levels in units within 64 bits.
const maxBurst = galenastair.Tokens(1<<62) / galenastair.Tokens(unitsPerToken)

// Bucket is the token bucket of one share. Lent tokens occupy its capacity until the
// loan is closed.
//
// The level plus the lent tokens never exceeds the burst and grows only by the rate.
// The tokens spent in any time t are therefore at most burst plus rate times t, even if
// an organisation sends several times its rate through all instances and whichever
// messages are lost.
type Bucket struct {
	limits          Limits
	level           int64
	lent            int64
	updated         time.Time
	headroomHistory headroomHistory
}

// NewBucket returns an empty bucket that refills from the given time on, which may be
// in the future.
func NewBucket(s Limits, from time.Time) *Bucket {
	return &Bucket{limits: clampLimits(s), updated: from}
}

// NewFullBucket returns a full bucket.
func NewFullBucket(s Limits, now time.Time) *Bucket {
	b := NewBucket(s, now)
	b.level = b.capacity()
	return b
}

func clampLimits(s Limits) Limits {
	return Limits{Rate: max(s.Rate, 0), Burst: min(max(s.Burst, 0), maxBurst)}
}

func (b *Bucket) capacity() int64 { return int64(b.limits.Burst) * unitsPerToken }

// headroom returns the unused capacity. It is negative while more is lent than a
// lowered burst allows.
func (b *Bucket) headroom() int64 { return b.capacity() - b.level - b.lent }

// awaitsLoans reports whether the bucket cannot refill until a loan is closed.
func (b *Bucket) awaitsLoans() bool { return b.lent > 0 && b.headroom() <= 0 }

func (b *Bucket) refill(now time.Time) {
	if !now.After(b.updated) {
		return
	}
	elapsed := int64(now.Sub(b.updated))
	b.updated = now
	headroom := b.headroom()
	if headroom <= 0 || b.limits.Rate == 0 {
		return
	}
	if elapsed > headroom/int64(b.limits.Rate) {
		b.level += headroom
		return
	}
	b.level += elapsed * int64(b.limits.Rate)
}

// Available returns the number of whole tokens that are available.
func (b *Bucket) Available(now time.Time) galenastair.Tokens {
	b.refill(now)
	return galenastair.Tokens(b.level / unitsPerToken)
}

// Take spends n tokens if that many are available.
func (b *Bucket) Take(now time.Time, n galenastair.Tokens) bool {
	if n < 0 || b.Available(now) < n {
		return false
	}
	b.headroomHistory.record(b.headroom())
	b.level -= int64(n) * unitsPerToken
	return true
}

// Lend reserves n tokens for a borrower if that many are available.
func (b *Bucket) Lend(now time.Time, n galenastair.Tokens) bool {
	if n < 0 || b.Available(now) < n {
		return false
	}
	b.level -= int64(n) * unitsPerToken
	b.lent += int64(n) * unitsPerToken
	return true
}

// CloseLoan ends a loan of which spent tokens were used, and returns the mark for a
// later Refund.
func (b *Bucket) CloseLoan(now time.Time, loan, spent galenastair.Tokens) Mark {
	b.refill(now)
	mark := b.headroomHistory.record(b.headroom())
	b.lent -= int64(loan) * unitsPerToken
	b.level += int64(loan-spent) * unitsPerToken
	b.clampLevel()
	return mark
}

// Refund returns n tokens that were counted as spent before the mark but were not used.
//
// If they had not been counted, the bucket might have been full since then and have
// lost refilled tokens, so at most the minimum headroom since the mark can be returned.
// Without this limit, an organisation that keeps many charges open and settles them all
// late would get its burst twice.
func (b *Bucket) Refund(now time.Time, n galenastair.Tokens, since Mark) {
	b.refill(now)
	back := min(int64(n)*unitsPerToken, b.headroomHistory.minSince(since), b.headroom())
	if back <= 0 {
		return
	}
	b.level += back
	b.headroomHistory.reduceSince(since, back)
}

// SetLimits changes the limits. A lower burst reduces the level immediately, a higher
// one fills at the rate.
func (b *Bucket) SetLimits(now time.Time, s Limits) {
	b.refill(now)
	b.limits = clampLimits(s)
	b.clampLevel()
}

// clampLevel limits the level to the part of the burst that is not lent.
func (b *Bucket) clampLevel() {
	b.level = max(0, min(b.level, b.capacity()-b.lent))
}
