package dispatch

import (
	"galenastair"
	"galenastair/queue"
)

// entitledShare is how much of the mean backlog, in seconds of its own rate, an
// organisation may have waiting and still count as within its share. Half of it
// tells those that send as contracted from those that make the backlog, and at a
// saturation that all cause alike it entitles nobody.
const entitledShare = 0.5

// waitingShare is what one organisation has waiting on this entry.
type waitingShare struct {
	cost   float64
	weight float64
	items  int
}

// backlog sums up what waits on an entry, over all models.
type backlog struct {
	waiting map[galenastair.Organisation]*waitingShare
	cost    float64
	weight  float64
}

func (b *backlog) add(it *queue.Item) {
	w := b.waiting[it.Organisation]
	if w == nil {
		w = &waitingShare{weight: max(1, float64(it.Weight))}
		b.waiting[it.Organisation] = w
		b.weight += w.weight
	}
	w.items++
	w.cost += float64(it.Cost)
	b.cost += float64(it.Cost)
}

func (b *backlog) remove(it *queue.Item) {
	w := b.waiting[it.Organisation]
	if w == nil {
		return
	}
	w.items--
	w.cost -= float64(it.Cost)
	b.cost -= float64(it.Cost)
	if w.items == 0 {
		b.weight -= w.weight
		delete(b.waiting, it.Organisation)
	}
}

// exceeds says whether an organisation makes the backlog that others wait in.
func (b *backlog) exceeds(o galenastair.Organisation) bool {
	w := b.waiting[o]
	return w != nil && len(b.waiting) > 1 && !b.entitles(o)
}

// entitles says whether an organisation that waits is within its share.
func (b *backlog) entitles(o galenastair.Organisation) bool {
	w := b.waiting[o]
	return w != nil && len(b.waiting) > 1 && w.cost/w.weight < entitledShare*b.cost/b.weight
}
