package pool

import "time"

const (
	// failuresOut in a row take a server out; one request that crashes what runs it
	// and its one repetition make two.
	failuresOut = 3
	// failWeight is the weight of one result in the share of failures.
	failWeight = 0.2
	// failShareOut is the share of failures that takes a server out: callers of a
	// request that may not be repeated lose every second one there.
	failShareOut = 0.45
	// leastSamples is how many results a share needs.
	leastSamples = 4
	// firstRest and longestRest bound how long a server stays out before one request
	// tries it; a crashed one is back after some seconds.
	firstRest   = time.Second
	longestRest = 8 * time.Second
	// silence is how long a server with unanswered requests may show no progress at
	// all before it counts as dark, beside what it was foretold to take.
	silence = 900 * time.Millisecond
	// fullFor is how long an answer "full" keeps requests for the same model away, if
	// others hold it: the server has no room, or is about to give the model up.
	fullFor = 400 * time.Millisecond
)

// health is how a server has answered this instance.
type health struct {
	failures  int
	share     float64
	samples   int
	out       time.Time
	rest      time.Duration
	probing   bool
	progress  time.Time
	unstarted int
}

func (h *health) sent(now time.Time) {
	if h.unstarted == 0 {
		h.progress = now
	}
	h.unstarted++
}

func (h *health) started(now time.Time) {
	h.unstarted = max(0, h.unstarted-1)
	h.progress = now
}

func (h *health) succeeded() {
	h.failures, h.rest, h.probing = 0, 0, false
	h.out = time.Time{}
	h.note(0)
}

func (h *health) failed(now time.Time) {
	h.failures++
	h.note(1)
	if h.failures >= failuresOut || h.samples >= leastSamples && h.share > failShareOut || h.probing {
		h.takeOut(now)
	}
}

// erred counts an error that the server itself answered with. Requests of some kinds
// fail everywhere, so only their share tells of the server.
func (h *health) erred(now time.Time) {
	h.failures = 0
	h.note(1)
	if h.samples >= leastSamples && h.share > failShareOut || h.probing {
		h.takeOut(now)
	}
}

func (h *health) note(failure float64) {
	h.samples++
	h.share += max(failWeight, 1/float64(h.samples)) * (failure - h.share)
}

func (h *health) takeOut(now time.Time) {
	h.rest = min(longestRest, max(firstRest, 2*h.rest))
	h.out = now.Add(h.rest)
	h.probing = false
	h.failures = 0
}

// isOut says whether only a try-out or nothing else may go there.
func (h *health) isOut(now time.Time) bool { return now.Before(h.out) || h.probing }

// mayProbe says whether its rest is over and nothing tries it yet.
func (h *health) mayProbe(now time.Time) bool {
	return !h.out.IsZero() && !now.Before(h.out) && !h.probing
}

// stalled says whether it has shown no progress for longer than foretold. A frozen or
// dead server sends nothing at all, and its connections stay open.
func (h *health) stalled(now time.Time, foretold time.Duration) bool {
	return h.unstarted > 0 && now.Sub(h.progress) > silence+foretold
}
