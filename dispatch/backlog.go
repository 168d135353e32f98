package dispatch

import (
	"galenastair"
	"galenastair/queue"
)

// withinShareFactor is the fraction of the mean backlog below which the backlog of an
// organisation counts as within its share. Backlogs are compared in seconds of contract
// rate. Half of the mean separates organisations that send at their contract rate from
// those that cause the backlog; if all cause it alike, none is within its share.
const withinShareFactor = 0.5

// queuedShare sums up the waiting requests of one organisation on this instance.
type queuedShare struct {
	cost   float64
	weight float64
	items  int
}

// backlog sums up the waiting requests of an instance, over all models.
type backlog struct {
	queued map[galenastair.Organisation]*queuedShare
	cost   float64
	weight float64
}

func (b *backlog) add(it *queue.Item) {
	w := b.queued[it.Organisation]
	if w == nil {
		w = &queuedShare{weight: max(1, float64(it.Weight))}
		b.queued[it.Organisation] = w
		b.weight += w.weight
	}
	w.items++
	w.cost += float64(it.Cost)
	b.cost += float64(it.Cost)
}

func (b *backlog) remove(it *queue.Item) {
	w := b.queued[it.Organisation]
	if w == nil {
		return
	}
	w.items--
	w.cost -= float64(it.Cost)
	b.cost -= float64(it.Cost)
	if w.items == 0 {
		b.weight -= w.weight
		delete(b.queued, it.Organisation)
	}
}

// overShare reports whether an organisation causes the backlog in which others wait.
func (b *backlog) overShare(o galenastair.Organisation) bool {
	w := b.queued[o]
	return w != nil && len(b.queued) > 1 && !b.withinShare(o)
}

// withinShare reports whether an organisation with waiting requests is within its share.
func (b *backlog) withinShare(o galenastair.Organisation) bool {
	w := b.queued[o]
	return w != nil && len(b.queued) > 1 && w.cost/w.weight < withinShareFactor*b.cost/b.weight
}
