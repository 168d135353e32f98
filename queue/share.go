package queue

import (
	"slices"
	"time"

	"galenastair"
)

// idleFlows is how many organisations without waiting items are remembered
// before those that owe nothing are forgotten.
const idleFlows = MaxWaiting

func (q *Fair) flow(it *Item) *flow {
	f := q.flows[it.Organisation]
	if f == nil {
		q.forget()
		f = newFlow(it)
		q.flows[it.Organisation] = f
	}
	if len(f.items) > 0 {
		f.setWeight(it.Weight)
		return f
	}
	f.setWeight(it.Weight)
	// what an idle organisation did not use is not saved up: else one that was
	// silent all night could hold the queue for as long in the morning
	f.start = max(q.virtual, f.finish)
	return f
}

// forget drops idle organisations that owe nothing: at 2,000 organisations and
// 250 models they would otherwise take 60 MB on each entry.
func (q *Fair) forget() {
	if len(q.flows) < len(q.active)+idleFlows {
		return
	}
	for o, f := range q.flows {
		if len(f.items) == 0 && f.finish <= q.virtual {
			delete(q.flows, o)
		}
	}
	if len(q.flows) >= len(q.active)+2*idleFlows {
		q.forgetAll()
	}
}

// forgetAll bounds the memory when every idle organisation still owes a little.
func (q *Fair) forgetAll() {
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

func (q *Fair) drop(f *flow, i int) *Item {
	it := f.remove(i)
	q.length--
	if len(f.items) == 0 {
		q.active = slices.Delete(q.active, slices.Index(q.active, f), slices.Index(q.active, f)+1)
	}
	return it
}

// mostExcess returns the flow that has most waiting for its rate. When the queue
// is full, that one loses an item: if the arriving item were refused instead, one
// organisation's flood would fill the queue and shut out all others.
func (q *Fair) mostExcess() *flow {
	most := q.active[0]
	for _, f := range q.active[1:] {
		if f.excess() > most.excess() {
			most = f
		}
	}
	return most
}

func (q *Fair) dropNewest(f *flow) *Item {
	return q.drop(f, len(f.items)-1)
}

func (q *Fair) backlog() float64 {
	var sum float64
	for _, f := range q.active {
		sum += f.cost
	}
	return sum
}

// foretell estimates how long an arriving item waits: for the items of its own
// organisation, and for those of others whose tags come before its own. Another
// organisation's backlog beyond its share does not count, as it is not waited for.
func (q *Fair) foretell(now time.Time, f *flow, it *Item) (time.Duration, bool) {
	if it.Deadline.IsZero() || it.Entitled || q.length == 0 {
		return 0, false
	}
	tag := f.start + f.cost/f.weight
	work := f.cost
	for _, g := range q.active {
		if g != f && tag > g.start {
			work += min(g.cost, (tag-g.start)*g.weight)
		}
	}
	return q.drain.wait(now, work)
}

// Wait foretells the wait of an item that an organisation would add now.
func (q *Fair) Wait(now time.Time, o galenastair.Organisation, w galenastair.TokensPerSecond) time.Duration {
	f := &flow{organisation: o, weight: max(1, float64(w)), start: q.virtual}
	if known := q.flows[o]; known != nil {
		f = known
	}
	wait, _ := q.foretell(now, f, &Item{Deadline: now.Add(time.Hour)})
	return wait
}
