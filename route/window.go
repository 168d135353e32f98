package route

import (
	"time"

	"galenastair"
)

const (
	// firstWindow is what an entry has in flight at a backend server that it
	// knows nothing of: with 9 entries it fills a batch of some 32 together.
	firstWindow = 4
	// largestWindow bounds the window of a backend server that never reports a
	// queue, beyond any batch that a present engine runs.
	largestWindow = 2048
	// windowStep is the additive growth for a report that shows no queue.
	windowStep = 1
	// windowCut is the multiplicative cut for one that does. Entries share each
	// backend server without knowing of one another; adding and multiplying is
	// what makes their windows meet at equal shares.
	windowCut = 0.8
	// queueFactor is how many times the usual time of a first token still says
	// that the request did not queue in the engine.
	queueFactor = 2
	// joining is how many more may wait while a window still opens for the first
	// time: requests that came since the engine's last step, some 50 ms ago, are no
	// queue, and to take them for one would end the opening at a handful of slots.
	joining = 4
	// queueTolerance is how much of the running batch may wait in the engine: a
	// few keep it busy between two reports, more would wait in an order that no
	// entry's fair queue has a say in.
	queueTolerance = 0.1
)

// gapTarget is the time between tokens above which a window is cut. The callers
// are promised 64 ms; an engine's step grows with its batch, so the batch stops
// growing a little before.
const gapTarget = 58 * time.Millisecond

// gapEasy is the time between tokens below which a batch is far from too large.
const gapEasy = 40 * time.Millisecond

// window bounds an entry's own requests at one backend server. It is made for
// several entries sending more than an engine can batch: what is beyond waits in
// the entries, where it can be ordered fairly, refused and moved, and not in the
// engine, where it can't.
type window struct {
	limit float64
	used  bool
	// full says that the window was used up since the last first token.
	full bool
	// settled says that the window was cut once: it has been near its right size.
	settled bool
}

func (w *window) size() int { return max(1, int(w.limit)) }

// keptShare is the part of the window that organisations within their share may use
// beyond it. A slot in a window is held for a whole answer, seconds long: without
// this a request that is first in turn waits for one of the few slots that its entry
// has at the one or two copies of its model. In the engine it waits for the slots of
// all entries together, and the engine's priority puts it first there.
const keptShare = 0.5

func (w *window) kept() int { return max(1, int(keptShare*w.limit)) }

// note tells the window that a request was sent with so many in flight.
func (w *window) note(inFlight int) {
	if inFlight >= w.size()-1 {
		w.used = true
		w.full = true
	}
}

// follow adapts the window to a report. It grows only when it was used, else an
// idle hour would leave it wide open for the next burst.
func (w *window) follow(r galenastair.EngineReport) {
	tolerated := 1 + queueTolerance*float64(r.Running)
	if !w.settled {
		tolerated += joining
	}
	switch {
	case float64(r.Waiting) > tolerated:
		w.cut()
	case w.used:
		w.limit = min(largestWindow, w.limit+windowStep)
	}
	w.used = false
}

// gap adapts the window to the time between the tokens of one answer.
func (w *window) gap(between time.Duration) {
	if between > gapTarget {
		w.limit = max(1, w.limit-windowStep)
	}
}

func (w *window) cut() {
	w.settled = true
	w.limit = max(1, w.limit*windowCut)
}

// firstToken opens a window that is used up when a first token came without a
// queue in the engine.
//
// It is made for many short answers at one entry. Reports come each 2 s at today's
// size and each 7 s at the target, as the budget for control allows: by them alone
// a window opened by one slot in that time, and an entry that was sent 1,000
// requests a second let most wait for 250 ms and refused one in eight beside an
// idle engine (make bench). Before the first cut it doubles within the time of one
// answer, afterwards it grows by one slot in that time. Near the time between
// tokens that callers are promised only reports open it: a batch that is too large
// shows in answers that end seconds later.
func (w *window) firstToken(took, usual, gap time.Duration) {
	if !w.full || took > queueFactor*usual || gap > gapEasy {
		return
	}
	w.full = false
	step := 1.0
	if w.settled {
		step = windowStep / w.limit
	}
	w.limit = min(largestWindow, w.limit+step)
}
