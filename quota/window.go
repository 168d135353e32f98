package quota

import "time"

// windowSlots is the number of slots in a window; the sums are off by up to one slot.
const windowSlots = 32

// window sums what a lender did for one organisation in the last window plus one slot. Times are
// given relative to an origin that the caller chooses, because a jump of the wall clock would empty
// or freeze the window.
type window struct {
	slots [windowSlots + 1]slot
	// newest is the index of the newest slot since the origin.
	newest int64
}

type slot struct {
	// lent excludes what was returned unspent.
	lent float64
	// contributed sums the contributed time in seconds, each weighted by the instance's fraction.
	contributed float64
}

// slot returns the slot of a time and clears those that are older than a window.
func (w *window) slot(since, length time.Duration) *slot {
	at := int64(since) / max(1, int64(length)/windowSlots)
	for i := max(w.newest+1, at-windowSlots); i <= at; i++ {
		w.slots[i%int64(len(w.slots))] = slot{}
	}
	w.newest = max(w.newest, at)
	return &w.slots[w.newest%int64(len(w.slots))]
}

// lent returns an upper bound on what was lent in the last window.
func (w *window) lent() float64 {
	sum := 0.0
	for _, s := range w.slots {
		sum += s.lent
	}
	return sum
}

// contributed returns a lower bound on the seconds contributed in the last window. The oldest slot
// does not count, as a part of it lies before the window.
func (w *window) contributed() float64 {
	oldest := (w.newest + 1) % int64(len(w.slots))
	sum := 0.0
	for i, s := range w.slots {
		if int64(i) != oldest {
			sum += s.contributed
		}
	}
	return sum
}
