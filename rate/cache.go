package rate

import (
	"slices"
	"time"

	"galenastair"
)

// cache holds the loans of one organisation at one entry.
type cache struct {
	loans  []*borrowed
	demand demand
	// refusedUntil and refusedNeed stop an organisation that is over its rate from
	// costing a message for each request that is refused.
	refusedUntil time.Time
	refusedNeed  galenastair.Tokens
	refusal      error
	// comeBack is when the refused need is met.
	comeBack time.Time
	// last is what each holder last said of its share, and when.
	last [Holders]heard
	// borrowing is held by the one request that asks the holders.
	borrowing chan struct{}
}

// heard is a holder's word on its share at one moment.
type heard struct {
	state State
	at    time.Time
}

// low says that a share is likely to have less than half of its burst, which is
// no reason to ask another one further away before that.
func (h heard) low(now time.Time) bool {
	return !h.at.IsZero() && h.likely(now) < h.state.Share.Burst/2
}

// likely returns what the share has if nobody has borrowed since.
func (h heard) likely(now time.Time) galenastair.Tokens { return h.state.at(now.Sub(h.at)) }

func newCache() *cache { return &cache{borrowing: make(chan struct{}, 1)} }

func (c *cache) usable(now time.Time) galenastair.Tokens {
	var n galenastair.Tokens
	for _, b := range c.loans {
		n += b.usable(now)
	}
	return n
}

// spend takes n tokens from the loans, those that end first before others, or nothing.
func (c *cache) spend(now time.Time, n galenastair.Tokens) ([]piece, bool) {
	if c.usable(now) < n {
		return nil, false
	}
	var pieces []piece
	for _, b := range c.loans {
		take := min(b.usable(now), n)
		if take == 0 {
			continue
		}
		b.left -= take
		n -= take
		pieces = append(pieces, piece{b, take})
	}
	return pieces, true
}

func (c *cache) add(b *borrowed) {
	c.loans = append(c.loans, b)
	slices.SortFunc(c.loans, func(x, y *borrowed) int { return x.deadline.Compare(y.deadline) })
}

// finished takes out the loans that are used up or due to be given back.
func (c *cache) finished(now time.Time) []*borrowed {
	var out []*borrowed
	c.loans = slices.DeleteFunc(c.loans, func(b *borrowed) bool {
		done := b.left == 0 || !now.Before(b.giveBack)
		if done {
			out = append(out, b)
		}
		return done
	})
	return out
}

func (c *cache) remove(b *borrowed) {
	c.loans = slices.DeleteFunc(c.loans, func(x *borrowed) bool { return x == b })
}

// hold repeats a refusal for a while to requests that need as much.
func (c *cache) hold(now time.Time, need galenastair.Tokens, wait time.Duration, cause error) {
	c.refusedNeed = need
	c.refusal = cause
	c.comeBack = now.Add(wait)
	c.refusedUntil = now.Add(min(wait, refusalHold))
}

// forgotten is the decayed count of requests below which a cache is given up:
// about ten seconds after a single request.
const forgotten = 0.01

// idle says that the cache holds nothing worth its memory.
func (c *cache) idle(now time.Time) bool {
	return len(c.loans) == 0 && len(c.borrowing) == 0 && c.demand.requests(now) < forgotten
}
