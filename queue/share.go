package queue

import (
	"slices"
	"time"

	"galenastair"
)

// idleFlowLimit is the number of organisations without waiting items above which those that owe
// nothing are evicted.
const idleFlowLimit = MaxWaiting

func (q *Fair) flow(it *Item) *flow {
	f := q.flows[it.Organisation]
	if f == nil {
		q.evictIdle()
		f = newFlow(it)
		q.flows[it.Organisation] = f
	}
	if len(f.items) > 0 {
		f.setWeight(it.Weight)
		return f
	}
	f.setWeight(it.Weight)
	// unused capacity of an idle organisation is not saved up: otherwise one that was idle all
	// night could occupy the queue for as long in the morning
	f.startTag = max(q.virtualTime, f.finishTag)
	return f
}

// evictIdle drops idle organisations that owe nothing. With 2,000 organisations and 250 models
// they would otherwise take 60 MB in each entry.
func (q *Fair) evictIdle() {
	if len(q.flows) < len(q.active)+idleFlowLimit {
		return
	}
	for o, f := range q.flows {
		if len(f.items) == 0 && f.finishTag <= q.virtualTime {
			delete(q.flows, o)
		}
	}
	if len(q.flows) >= len(q.active)+2*idleFlowLimit {
		q.evictAllIdle()
	}
}

// evictAllIdle bounds the memory if every idle organisation still owes a little.
func (q *Fair) evictAllIdle() {
	for o, f := range q.flows {
		if len(f.items) == 0 {
			delete(q.flows, o)
		}
	}
}

func (q *Fair) add(f *flow, it *Item) {
	if len(f.items) == 0 {
		q.active = append(q.active, f)
	}
	f.insert(it)
	q.length++
}

func (q *Fair) removeAt(f *flow, i int) *Item {
	it := f.removeAt(i)
	q.length--
	if len(f.items) == 0 {
		q.active = slices.Delete(q.active, slices.Index(q.active, f), slices.Index(q.active, f)+1)
	}
	return it
}

// largestBacklog returns the flow with the largest backlog for its rate, which loses an item when
// the queue is full. If the arriving item were refused instead, one organisation's excess would
// fill the queue and shut out all others.
func (q *Fair) largestBacklog() *flow {
	most := q.active[0]
	for _, f := range q.active[1:] {
		if f.backlogSeconds() > most.backlogSeconds() {
			most = f
		}
	}
	return most
}

func (q *Fair) dropNewest(f *flow) *Item {
	return q.removeAt(f, len(f.items)-1)
}

func (q *Fair) backlog() float64 {
	var sum float64
	for _, f := range q.active {
		sum += f.cost
	}
	return sum
}

// estimateItemWait estimates how long an arriving item waits: for the items of its own
// organisation, and for those of others whose tags come before its own. Another organisation's
// backlog beyond its share does not count, because the item does not wait for it.
func (q *Fair) estimateItemWait(now time.Time, f *flow, it *Item) (time.Duration, bool) {
	if it.Deadline.IsZero() || it.WithinShare || q.length == 0 {
		return 0, false
	}
	tag := f.startTag + f.cost/f.weight
	work := f.cost
	for _, g := range q.active {
		if g != f && tag > g.startTag {
			work += min(g.cost, (tag-g.startTag)*g.weight)
		}
	}
	return q.drain.estimate(now, work)
}

// EstimateWait estimates the wait of an item that an organisation would add now.
func (q *Fair) EstimateWait(now time.Time, o galenastair.Organisation, w galenastair.TokensPerSecond) time.Duration {
	f := &flow{organisation: o, weight: max(1, float64(w)), startTag: q.virtualTime}
	if known := q.flows[o]; known != nil {
		f = known
	}
	wait, _ := q.estimateItemWait(now, f, &Item{Deadline: now.Add(time.Hour)})
	return wait
}
