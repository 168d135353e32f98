package queue

import (
	"slices"
	"time"

	"galenastair"
)

// flow is one organisation's part of a queue. Tags count seconds of the
// organisation's own contract rate, so tags of small and large ones compare.
type flow struct {
	organisation galenastair.Organisation
	weight       float64
	// start is the tag of the first waiting item.
	start float64
	// finish is the tag at which the item taken last ends.
	finish float64
	items  []*Item
	cost   float64
}

func newFlow(it *Item) *flow {
	return &flow{organisation: it.Organisation}
}

// setWeight follows changes of the contract; a rate of nothing still gets a trickle.
func (f *flow) setWeight(w galenastair.TokensPerSecond) {
	f.weight = max(1, float64(w))
}

// insert keeps the items of one organisation in order of deadline, and those of
// one deadline in order of arrival.
func (f *flow) insert(it *Item) {
	i := len(f.items)
	for i > 0 && sooner(it, f.items[i-1]) {
		i--
	}
	f.items = slices.Insert(f.items, i, it)
	f.cost += float64(it.Cost)
}

func sooner(a, b *Item) bool {
	if a.Deadline.IsZero() {
		return false
	}
	return b.Deadline.IsZero() || a.Deadline.Before(b.Deadline)
}

// first returns the place of the item to take: the first that can still be served
// well, else the first at all; -1 if none fits.
//
// It is made for saturation. In order of arrival every request would wait just until
// it is late, and the accelerators would serve nobody well; this way those who can
// be served in time are, and the late ones follow when there is time for them.
func (f *flow) first(now time.Time, fit func(*Item) bool) int {
	late := -1
	for i, it := range f.items {
		if !fit(it) {
			continue
		}
		if !it.Late(now) {
			return i
		}
		if late < 0 {
			late = i
		}
	}
	return late
}

func (f *flow) remove(i int) *Item {
	it := f.items[i]
	f.items = slices.Delete(f.items, i, i+1)
	f.cost -= float64(it.Cost)
	return it
}

// excess is how many seconds of its own rate the organisation has waiting.
func (f *flow) excess() float64 { return f.cost / f.weight }

// lateFirst says whether the item that waits longest can no longer be served well.
func (f *flow) lateFirst(now time.Time) bool {
	return len(f.items) > 0 && f.items[0].Late(now)
}
