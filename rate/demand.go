package rate

import (
	"math"
	"time"

	"galenastair"
)

const (
	// demandWindow is the time over which an entry's own demand is averaged:
	// a few loans long, so that a burst that is over lends nothing for long.
	demandWindow = 2 * time.Second
	// advanceTime is how much demand a loan covers beyond the request that needs it.
	advanceTime = LoanTerm / 4
	// advanceRequests is the least number of requests that an advance must be
	// expected to serve: below it, tokens would lie idle here while another
	// entry refuses a request.
	advanceRequests = 2
	// ampleTime and ampleRequests are the same where the advance is next to nothing
	// for its share: it then costs nobody anything, and each message saved counts.
	ampleTime     = LoanTerm / 2
	ampleRequests = 1
)

// demand is a decaying count of one organisation's requests at one entry; it
// sizes loans and decides nothing that must be exact.
type demand struct {
	tokens  float64
	count   float64
	updated time.Time
}

func (d *demand) decay(now time.Time) {
	if elapsed := now.Sub(d.updated); elapsed > 0 {
		keep := math.Exp(-float64(elapsed) / float64(demandWindow))
		d.tokens *= keep
		d.count *= keep
		d.updated = now
	}
}

func (d *demand) add(now time.Time, n galenastair.Tokens) {
	d.decay(now)
	d.tokens += float64(n)
	d.count++
}

// requests returns the decayed number of requests within the window.
func (d *demand) requests(now time.Time) float64 {
	d.decay(now)
	return d.count
}

// advance returns the tokens to borrow beyond a need from a share with a given burst.
func (d *demand) advance(now time.Time, burst galenastair.Tokens) galenastair.Tokens {
	if ample := d.within(now, ampleTime, ampleRequests); ample*smallPart <= burst {
		return ample
	}
	return d.within(now, advanceTime, advanceRequests)
}

// within returns the tokens to expect in a time, or none if too few requests will use them.
func (d *demand) within(now time.Time, t time.Duration, requests float64) galenastair.Tokens {
	part := float64(t) / float64(demandWindow)
	if d.requests(now)*part < requests {
		return 0
	}
	return galenastair.Tokens(d.tokens * part)
}
