package rate

import (
	"slices"
	"time"

	"galenastair"
)

// loanCache holds the loans of one organisation at one entry.
type loanCache struct {
	loans  []*borrowedLoan
	demand demandEstimate
	// refusedUntil and refusedNeed keep an organisation that exceeds its rate from
	// causing messages for every refused request.
	refusedUntil time.Time
	refusedNeed  galenastair.Tokens
	refusalCause error
	// retryAt is when refusedNeed tokens become available.
	retryAt time.Time
	// lastStates holds the last state that each holder reported.
	lastStates [Holders]observedState
	// borrowing is a lock held by the one request that is asking the holders.
	borrowing chan struct{}
}

// observedState is a share's state at the time when its holder reported it.
type observedState struct {
	state      ShareState
	observedAt time.Time
}

// low reports whether the share is estimated to have less than half of its burst. Such
// a holder is asked after more distant ones that have more.
func (h observedState) low(now time.Time) bool {
	return !h.observedAt.IsZero() && h.estimate(now) < h.state.Limits.Burst/2
}

// estimate returns the tokens that the share has if nobody has borrowed since.
func (h observedState) estimate(now time.Time) galenastair.Tokens {
	return h.state.availableAfter(now.Sub(h.observedAt))
}

func newLoanCache() *loanCache { return &loanCache{borrowing: make(chan struct{}, 1)} }

func (c *loanCache) available(now time.Time) galenastair.Tokens {
	var n galenastair.Tokens
	for _, b := range c.loans {
		n += b.available(now)
	}
	return n
}

// spend takes n tokens from the loans, those that expire first before others, or none.
func (c *loanCache) spend(now time.Time, n galenastair.Tokens) ([]loanPart, bool) {
	if c.available(now) < n {
		return nil, false
	}
	var parts []loanPart
	for _, b := range c.loans {
		take := min(b.available(now), n)
		if take == 0 {
			continue
		}
		b.remaining -= take
		n -= take
		parts = append(parts, loanPart{b, take})
	}
	return parts, true
}

func (c *loanCache) add(b *borrowedLoan) {
	c.loans = append(c.loans, b)
	slices.SortFunc(c.loans, func(x, y *borrowedLoan) int { return x.deadline.Compare(y.deadline) })
}

// takeReturnable removes and returns the loans that are used up or due to be returned.
func (c *loanCache) takeReturnable(now time.Time) []*borrowedLoan {
	var out []*borrowedLoan
	c.loans = slices.DeleteFunc(c.loans, func(b *borrowedLoan) bool {
		done := b.remaining == 0 || !now.Before(b.returnAt)
		if done {
			out = append(out, b)
		}
		return done
	})
	return out
}

func (c *loanCache) remove(b *borrowedLoan) {
	c.loans = slices.DeleteFunc(c.loans, func(x *borrowedLoan) bool { return x == b })
}

// rememberRefusal makes requests that need at least as many tokens be refused without
// asking the holders, for at most maxRefusalReuse.
func (c *loanCache) rememberRefusal(now time.Time, need galenastair.Tokens, wait time.Duration, cause error) {
	c.refusedNeed = need
	c.refusalCause = cause
	c.retryAt = now.Add(wait)
	c.refusedUntil = now.Add(min(wait, maxRefusalReuse))
}

// minActiveRequests is the decayed number of requests below which a cache is dropped.
// It is reached about ten seconds after a single request.
const minActiveRequests = 0.01

// idle reports whether the cache can be dropped.
func (c *loanCache) idle(now time.Time) bool {
	return len(c.loans) == 0 && len(c.borrowing) == 0 && c.demand.requests(now) < minActiveRequests
}
