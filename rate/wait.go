package rate

import (
	"time"

	"galenastair"
)

const (
	// takeoverWait is told when too few holders answer to ever reach the need:
	// a dead member's duties have moved, and filled again, after about this long.
	takeoverWait = 5 * time.Second
	// longestWait bounds the search; a burst fills within it or the contract has no rate to speak of.
	longestWait = 24 * time.Hour
)

// at returns the whole tokens that a share has after t if nothing else is taken.
func (s State) at(t time.Duration) galenastair.Tokens {
	b := NewBucket(s.Share, time.Time{}.Add(s.Delay))
	b.level = int64(min(s.Available, s.Share.Burst)) * unit
	return b.Available(time.Time{}.Add(t))
}

// waitFor returns when the shares together have the need, if nothing else is taken from them.
func waitFor(need galenastair.Tokens, states []State) (time.Duration, bool) {
	enough := func(t time.Duration) bool {
		var sum galenastair.Tokens
		for _, s := range states {
			sum += s.at(t)
		}
		return sum >= need
	}
	if !enough(longestWait) {
		return 0, false
	}
	low, high := time.Duration(0), longestWait
	for low < high {
		if mid := (low + high) / 2; enough(mid) {
			high = mid
		} else {
			low = mid + 1
		}
	}
	return low, true
}
