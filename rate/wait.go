package rate

import (
	"time"

	"galenastair"
)

const (
	// takeoverRetryAfter is returned if too few holders answer to ever cover the
	// request. After about this time, a failed member's shares have been reassigned and
	// have refilled.
	takeoverRetryAfter = 5 * time.Second
	// maxRetryAfter bounds the search. A burst that does not fill within it belongs to
	// a contract with practically no rate.
	maxRetryAfter = 24 * time.Hour
)

// availableAfter returns the number of whole tokens that a share has after t if no
// others are taken.
func (s ShareState) availableAfter(t time.Duration) galenastair.Tokens {
	b := NewBucket(s.Limits, time.Time{}.Add(s.Delay))
	b.level = int64(min(s.Available, s.Limits.Burst)) * unitsPerToken
	return b.Available(time.Time{}.Add(t))
}

// timeUntilAvailable returns the time until the shares together have the needed tokens
// if no others are taken.
func timeUntilAvailable(tokens galenastair.Tokens, states []ShareState) (time.Duration, bool) {
	enough := func(t time.Duration) bool {
		var sum galenastair.Tokens
		for _, s := range states {
			sum += s.availableAfter(t)
		}
		return sum >= tokens
	}
	if !enough(maxRetryAfter) {
		return 0, false
	}
	low, high := time.Duration(0), maxRetryAfter
	for low < high {
		if mid := (low + high) / 2; enough(mid) {
			high = mid
		} else {
			low = mid + 1
		}
	}
	return low, true
}
