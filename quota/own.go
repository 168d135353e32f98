package quota

import "time"

// localBucket holds an instance's own fraction in fallback. It refills with time and grants on
// credit.
//
// Failure guarded against: in a large fleet each instance's fraction earns less than one request
// before the next lender starts. If each instance waited for the whole cost, all requests would be
// refused although the fractions together would pay for many. So each instance grants a request
// once it has a random fraction of the cost, its phase, and owes the rest. Over all instances as
// much is granted as was earned, and no instance is off by more than one request.
type localBucket struct {
	bucket
	filledUntil time.Time
	// phase is random in [0, 1).
	phase float64
}

// refill adds what was earned since filledUntil, which may lie in the future after an advance.
func (b *localBucket) refill(now time.Time) {
	if !b.filledUntil.IsZero() && now.After(b.filledUntil) {
		b.add(b.rate * now.Sub(b.filledUntil).Seconds())
	}
	if b.filledUntil.IsZero() || now.After(b.filledUntil) {
		b.filledUntil = now
	}
}

// maxStoredFactor bounds what is saved for one large request, as a multiple of the instance's
// fraction of the bucket. It is kept small because all instances save that much while idle, and
// could grant it at once.
const maxStoredFactor = 3

// capacityFor returns a bucket capacity that allows a request of the largest cost to be granted,
// up to maxStoredFactor times size.
func (b *localBucket) capacityFor(size, largest float64) float64 {
	return max(size, min(b.phase*largest, maxStoredFactor*size))
}

// takeOnCredit takes n if the bucket holds at least phase times n; the rest becomes debt.
func (b *localBucket) takeOnCredit(n float64) bool {
	if b.level < b.phase*n {
		return false
	}
	b.level -= n
	return true
}
