package dispatch

import "galenastair"

// maxTrackedShares is the number of finish tags above which a shareTracker deletes those
// that no longer delay their organisation.
const maxTrackedShares = 256

// shareTracker implements start-time fair queueing between organisations on one backend
// server, over all its models and in proportion to contract rates. The queue of each model
// is fair by itself. But with a dozen models and adapters on an accelerator, an organisation
// that floods all of them would be first in each queue in turn, and one that uses a single
// model would wait for a dozen slots.
type shareTracker struct {
	virtualTime float64
	finishTags  map[galenastair.Organisation]float64
}

func newShareTracker() *shareTracker {
	return &shareTracker{finishTags: map[galenastair.Organisation]float64{}}
}

func (t *shareTracker) startTag(o galenastair.Organisation) float64 {
	return max(t.virtualTime, t.finishTags[o])
}

func (t *shareTracker) charge(o galenastair.Organisation, cost, weight float64) {
	start := t.startTag(o)
	t.virtualTime = max(t.virtualTime, start)
	t.finishTags[o] = start + cost/max(1, weight)
	if len(t.finishTags) > maxTrackedShares {
		t.prune()
	}
}

func (t *shareTracker) prune() {
	for o, f := range t.finishTags {
		if f <= t.virtualTime {
			delete(t.finishTags, o)
		}
	}
	if len(t.finishTags) > 2*maxTrackedShares {
		clear(t.finishTags)
	}
}
