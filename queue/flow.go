package queue

import (
	"slices"
	"time"

	"galenastair"
)

// flow is one organisation's part of a queue. Tags count seconds of the organisation's own
// contract rate, so that tags of small and large organisations are comparable.
type flow struct {
	organisation galenastair.Organisation
	weight       float64
	// startTag is the tag of the first waiting item.
	startTag float64
	// finishTag is the tag at which the last taken item ends.
	finishTag float64
	items     []*Item
	cost      float64
}

func newFlow(it *Item) *flow {
	return &flow{organisation: it.Organisation}
}

// setWeight applies a change of the contract. An organisation with a rate of 0 still gets a
// minimal weight.
func (f *flow) setWeight(w galenastair.TokensPerSecond) {
	f.weight = max(1, float64(w))
}

// insert keeps the items of one organisation in order of deadline, and those with equal deadlines
// in order of arrival.
func (f *flow) insert(it *Item) {
	i := len(f.items)
	for i > 0 && earlierDeadline(it, f.items[i-1]) {
		i--
	}
	f.items = slices.Insert(f.items, i, it)
	f.cost += float64(it.Cost)
}

func earlierDeadline(a, b *Item) bool {
	if a.Deadline.IsZero() {
		return false
	}
	return b.Deadline.IsZero() || a.Deadline.Before(b.Deadline)
}

// firstFitting returns the index of the item to take: the first that fits and is not late, else
// the first that fits; -1 if none fits.
//
// It is designed for saturation. In order of arrival, every request would wait until it is just
// late, and no caller would be served well. This way the requests that can be served in time are,
// and late ones follow when there is capacity.
func (f *flow) firstFitting(now time.Time, fit func(*Item) bool) int {
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

func (f *flow) removeAt(i int) *Item {
	it := f.items[i]
	f.items = slices.Delete(f.items, i, i+1)
	f.cost -= float64(it.Cost)
	return it
}

// backlogSeconds is the organisation's backlog in seconds of its own rate.
func (f *flow) backlogSeconds() float64 { return f.cost / f.weight }

// firstIsLate reports whether the first item is late.
func (f *flow) firstIsLate(now time.Time) bool {
	return len(f.items) > 0 && f.items[0].Late(now)
}
