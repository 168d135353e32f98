package quota

import "time"

// windowSlots is into how many a window is cut; the error of its sums is one of them.
const windowSlots = 32

// window sums what a lender did for one organisation in the last window, and a slot more.
// It is told the time since a moment of its owner's: a time of day may jump, and would empty
// it or stop it.
type window struct {
	slots [windowSlots + 1]slot
	// at numbers the newest slot since that moment.
	at int64
}

type slot struct {
	// lent is less what came back unspent.
	lent float64
	// passed is the time, in seconds, for which parts were passed on, each counted as
	// large as it is.
	passed float64
}

// slot returns that of a moment, having emptied those that are older than a window.
func (w *window) slot(since, length time.Duration) *slot {
	at := int64(since) / max(1, int64(length)/windowSlots)
	for i := max(w.at+1, at-windowSlots); i <= at; i++ {
		w.slots[i%int64(len(w.slots))] = slot{}
	}
	w.at = max(w.at, at)
	return &w.slots[w.at%int64(len(w.slots))]
}

// lent is at least what was lent in the last window.
func (w *window) lent() float64 {
	sum := 0.0
	for _, s := range w.slots {
		sum += s.lent
	}
	return sum
}

// passed is at most the seconds passed on in the last window: its oldest slot, of which a
// part is older, does not count.
func (w *window) passed() float64 {
	oldest := (w.at + 1) % int64(len(w.slots))
	sum := 0.0
	for i, s := range w.slots {
		if int64(i) != oldest {
			sum += s.passed
		}
	}
	return sum
}
