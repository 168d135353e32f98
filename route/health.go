package route

import (
	"time"

	"galenastair"
)

const (
	// slowSamples is how many answers a comparison needs: some may be unlucky.
	slowSamples = 5
	// slowFactor is how many times slower to the first token than the median of its
	// peers a backend server must be. Prompts and batches vary by a factor of two.
	slowFactor = 3
	// slowFirst is the least usual first token that counts as slow, the 1.8 s that
	// callers are promised. A busy backend server whose peers idle is many times slower
	// than they are and still well; at half of it, one that read long prompts was taken
	// out again and again, and its load fell on others.
	slowFirst = 1800 * time.Millisecond
	// gapFactor and slowGap are the same for the time between tokens, promised at 64
	// ms. It tells a slow accelerator from a busy one, whose window is cut before.
	gapFactor = 2
	slowGap   = 64 * time.Millisecond
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
	smoothing = 0.2
	// silentFloor is the least time without any first token that counts as silence of
	// an engine whose reports have stopped as well, for staleReport.
	silentFloor = 2 * time.Second
	staleReport = 3 * time.Second
	// aliveFloor is the same while reports still come: a prompt of some ten thousand
	// tokens takes seconds to read.
	aliveFloor = 6 * time.Second
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
	// slowness and first are smoothed over the last first tokens, gap over the time
	// between tokens of the last answers.
	slowness float64
	first    time.Duration
	samples  int
	gap      time.Duration
	gaps     int
	failures int
	// waiting counts requests without a first token; since is when the last
	// progress was, or when the first of them was sent.
	waiting int
	since   time.Time
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
	h.samples++
	h.slowness = smooth(h.slowness, float64(took)/float64(nominal(galenastair.Tokens(promptTokens))), h.samples)
	h.first = smooth(h.first, took, h.samples)
	h.failures = 0
}

func (h *health) between(gap time.Duration) {
	if gap > 0 {
		h.gaps++
		h.gap = smooth(h.gap, gap, h.gaps)
	}
}

// nominal is what the first token of a prompt takes an idle backend server.
func nominal(prompt galenastair.Tokens) time.Duration {
	return nominalFirstToken + time.Duration(prompt)*nominalPerToken
}

func (h *health) progress(now time.Time) {
	h.waiting = max(0, h.waiting-1)
	h.since = now
}

// smooth weighs a new sample; the first ones as in a plain mean.
func smooth[T float64 | time.Duration](old, sample T, samples int) T {
	return old + T(max(smoothing, 1/float64(samples))*float64(sample-old))
}

func (h *health) takeOut(now time.Time) {
	h.out = true
	h.rest = min(longestRest, max(firstRest, 2*h.rest))
	h.until = now.Add(h.rest)
	h.probing = false
	h.samples, h.gaps = 0, 0
	h.failures = 0
}

func (h *health) putBack() {
	h.out = false
	h.probing = false
}

// recover forgets that a backend server was out once it has done well for longer
// than the longest rest.
func (h *health) recover(now time.Time) {
	if !h.out && now.Sub(h.until) > longestRest {
		h.rest = 0
	}
}

// mayProbe says whether one request may try out a backend server that is out.
func (h *health) mayProbe(now time.Time) bool {
	return h.out && !h.probing && now.After(h.until)
}
