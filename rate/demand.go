package rate

import (
	"math"
	"time"

	"galenastair"
)

const (
	// demandWindow is the time over which an entry's own demand is averaged. It is
	// as long as a loan may be spent, so that little is prefetched once a burst of
	// requests is over.
	demandWindow = 2 * time.Second
	// prefetchTime is the time for which a loan covers the expected demand beyond the
	// request that needs it.
	prefetchTime = LoanTTL / 4
	// minPrefetchRequests is the minimum number of requests that prefetched tokens must
	// be expected to serve. With fewer, tokens would stay unused here while another
	// entry refuses requests.
	minPrefetchRequests = 2
	// cheapPrefetchTime and minCheapPrefetchRequests apply instead where the prefetched
	// tokens are a negligible part of the share's burst: they hardly reduce what others
	// can borrow, and every message saved counts.
	cheapPrefetchTime        = LoanTTL / 2
	minCheapPrefetchRequests = 1
)

// demandEstimate is an exponentially decaying count of one organisation's requests and
// tokens at one entry. It only sizes loans, so it need not be exact.
type demandEstimate struct {
	tokens       float64
	requestCount float64
	updated      time.Time
}

func (d *demandEstimate) decay(now time.Time) {
	if elapsed := now.Sub(d.updated); elapsed > 0 {
		keep := math.Exp(-float64(elapsed) / float64(demandWindow))
		d.tokens *= keep
		d.requestCount *= keep
		d.updated = now
	}
}

func (d *demandEstimate) add(now time.Time, n galenastair.Tokens) {
	d.decay(now)
	d.tokens += float64(n)
	d.requestCount++
}

// requests returns the decayed number of requests.
func (d *demandEstimate) requests(now time.Time) float64 {
	d.decay(now)
	return d.requestCount
}

// prefetch returns the number of tokens to borrow beyond the need from a share with the
// given burst.
func (d *demandEstimate) prefetch(now time.Time, burst galenastair.Tokens) galenastair.Tokens {
	if tokens := d.expectedTokens(now, cheapPrefetchTime, minCheapPrefetchRequests); tokens*smallLoanDivisor <= burst {
		return tokens
	}
	return d.expectedTokens(now, prefetchTime, minPrefetchRequests)
}

// expectedTokens returns the tokens expected to be charged within t, or 0 if fewer
// requests than the given number are expected.
func (d *demandEstimate) expectedTokens(now time.Time, t time.Duration, requests float64) galenastair.Tokens {
	part := float64(t) / float64(demandWindow)
	if d.requests(now)*part < requests {
		return 0
	}
	return galenastair.Tokens(d.tokens * part)
}
