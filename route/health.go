package route

import (
	"time"
)

const (
	// slowSamples is how many answers a comparison needs: one may be unlucky.
	slowSamples = 3
	// slowFactor is how many times slower than the median of its peers a backend
	// server must be. Long and short prompts together vary by a factor of two.
	slowFactor = 3
	// failuresOut is how many failures in a row take a backend server out; two
	// come from one poison request and its one repetition.
	failuresOut = 3
	// largestShareOut is the part of the fleet that may be out at a time. If more
	// seem slow it is the load or the network, and taking them out would add to it.
	largestShareOut = 0.34
	// firstRest is how long a backend server is out for the first time, longer
	// than a long garbage collection or a weight load on its link.
	firstRest = 5 * time.Second
	// longestRest bounds the doubling, so that a mended one is found in a minute.
	longestRest = 60 * time.Second
	// smoothing is the weight of a new sample.
	smoothing = 0.3
	// silentFloor is the least time without any first token that counts as silence.
	silentFloor = 2 * time.Second
	// silentFactor is how many usual first tokens long a silence must be.
	silentFactor = 6
	// reportSilence is how old a report may grow before its engine counts as
	// silent, provided that the median of its peers' reports is half as old.
	reportSilence = 6 * time.Second
)

// Nominal costs by which first tokens of long and short prompts compare. Only
// their proportion matters, as peers are compared by the same measure.
const (
	nominalFirstToken = 60 * time.Millisecond
	nominalPerToken   = 150 * time.Microsecond
)

// health is how one backend server fares against its peers.
type health struct {
	slowness float64
	samples  int
	failures int
	// waiting counts requests without a first token; since is when the last
	// progress was, or when the first of them was sent.
	waiting int
	since   time.Time
	first   time.Duration
	out     bool
	until   time.Time
	rest    time.Duration
	probing bool
}

func (h *health) sent(now time.Time) {
	if h.waiting == 0 {
		h.since = now
	}
	h.waiting++
}

func (h *health) firstToken(now time.Time, took time.Duration, promptTokens int64) {
	h.progress(now)
	nominal := nominalFirstToken + time.Duration(promptTokens)*nominalPerToken
	h.sample(float64(took) / float64(nominal))
	h.first = took
	h.failures = 0
}

func (h *health) progress(now time.Time) {
	h.waiting = max(0, h.waiting-1)
	h.since = now
}

func (h *health) sample(slowness float64) {
	h.samples++
	if h.samples == 1 {
		h.slowness = slowness
		return
	}
	h.slowness += smoothing * (slowness - h.slowness)
}

func (h *health) takeOut(now time.Time) {
	h.out = true
	h.rest = min(longestRest, max(firstRest, 2*h.rest))
	h.until = now.Add(h.rest)
	h.probing = false
	h.samples = 0
	h.failures = 0
}

func (h *health) putBack() {
	h.out = false
	h.probing = false
}

// mayProbe says whether one request may try out a backend server that is out.
func (h *health) mayProbe(now time.Time) bool {
	return h.out && !h.probing && now.After(h.until)
}
