package route

import (
	"time"

	"galenastair"
)

const (
	// initialWindow is the number of requests that an instance may have in flight at a backend
	// server without any measurement. With 9 instances, this fills a batch of about 32.
	initialWindow = 4
	// maxWindow bounds the window of a backend server that never reports a queue. It is larger
	// than the batch of any current engine.
	maxWindow = 2048
	// windowIncrease is the additive increase for a report without a queue.
	windowIncrease = 1
	// windowDecrease is the multiplicative decrease for a report with a queue. Instances share
	// each backend server without knowing of each other, and additive increase with
	// multiplicative decrease makes their windows converge to equal shares.
	windowDecrease = 0.8
	// queuedFirstTokenFactor is the multiple of the nominal time to the first token above which
	// a request is taken to have queued in the engine.
	queuedFirstTokenFactor = 2
	// slowStartTolerance is the number of additional waiting requests that are tolerated until
	// the first multiplicative decrease. Requests that arrived since the engine's last step, about
	// 50 ms ago, are no queue, and treating them as one would end the fast growth at a few slots.
	slowStartTolerance = 4
	// queueTolerance is the share of the running batch that may wait in the engine. A few
	// waiting requests keep the engine busy between two reports. More would wait in an order
	// that the fair queues of the instances cannot influence.
	queueTolerance = 0.1
)

// interTokenLatencyTarget is the time between tokens above which the window is decreased.
// Callers are promised 64 ms. The duration of an engine step grows with the batch, so the
// batch must stop growing a little before.
const interTokenLatencyTarget = 58 * time.Millisecond

// growthInterTokenLatency is the time between tokens up to which first tokens may increase the
// window, as the batch is far from too large.
const growthInterTokenLatency = 40 * time.Millisecond

// window is an adaptive limit on the requests that an instance has in flight at one backend
// server, with additive increase and multiplicative decrease. If several instances send more
// than an engine can batch, the excess waits in the instances, where it can be ordered
// fairly, refused or sent to another server. In the queue of an engine it can't.
type window struct {
	limit float64
	// usedUp reports whether the window was used up since the last report.
	usedUp bool
	// exhausted reports whether the window was used up since the last first token.
	exhausted bool
	// congestionSeen reports whether the window was ever decreased by windowDecrease, so that
	// its size has been near the capacity of the backend server.
	congestionSeen bool
}

func (w *window) size() int { return max(1, int(w.limit)) }

// reservedShare is the number of slots beyond the window, relative to its size, that are
// reserved for organisations within their share. A slot is held for a whole response, several
// seconds. Without the reserve, the first request in the queue would wait for one of the few
// slots of its instance at the one or two copies of its model. In the engine it waits for the
// slots of all instances together, and its priority places it first.
const reservedShare = 0.5

func (w *window) reserved() int { return max(1, int(reservedShare*w.limit)) }

// recordSent records that a request was sent; inFlight includes it.
func (w *window) recordSent(inFlight int) {
	if inFlight >= w.size()-1 {
		w.usedUp = true
		w.exhausted = true
	}
}

// applyReport adapts the window to a report. The window grows only if it was used up;
// otherwise it would be at its maximum after an idle hour when the next burst arrives.
func (w *window) applyReport(r galenastair.EngineReport) {
	tolerated := 1 + queueTolerance*float64(r.Running)
	if !w.congestionSeen {
		tolerated += slowStartTolerance
	}
	switch {
	case float64(r.Waiting) > tolerated:
		w.decrease()
	case w.usedUp:
		w.limit = min(maxWindow, w.limit+windowIncrease)
	}
	w.usedUp = false
}

// applyInterTokenLatency adapts the window to the time between the tokens of one response.
func (w *window) applyInterTokenLatency(latency time.Duration) {
	if latency > interTokenLatencyTarget {
		w.limit = max(1, w.limit-windowIncrease)
	}
}

func (w *window) decrease() {
	w.congestionSeen = true
	w.limit = max(1, w.limit*windowDecrease)
}

// applyFirstToken increases a window that is used up if a first token arrived without queueing
// in the engine.
//
// Reports arrive every 2 s at the current fleet size and every 7 s at the target size, as the
// budget for control traffic allows. With reports alone the window grew by one slot in that
// time: at 1,000 short requests per second, an instance made most of them wait for 250 ms and
// refused one in eight while the engine was idle. Until its first multiplicative decrease the
// window doubles within the time of one response; after it, the window grows by one slot in
// that time. Above growthInterTokenLatency only reports increase the window, because a batch
// that is too large shows only in responses that end seconds later.
func (w *window) applyFirstToken(took, expected, latency time.Duration) {
	if !w.exhausted || took > queuedFirstTokenFactor*expected || latency > growthInterTokenLatency {
		return
	}
	w.exhausted = false
	step := 1.0
	if w.congestionSeen {
		step = windowIncrease / w.limit
	}
	w.limit = min(maxWindow, w.limit+step)
}
