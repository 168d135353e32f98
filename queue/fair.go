package queue

import (
	"math"
	"slices"
	"time"

	"galenastair"
)

// MaxWaiting bounds the items of one model. A waiting request holds a goroutine
// and its body, about 20 KB together, on an entry of 64 MB; and at 20 requests a
// second for a model, 256 are already more than anybody waits for.
const MaxWaiting = 256

// MaxPriority is the least urgent level that an engine is given.
const MaxPriority = 15

// shortestRetry is the least time after which a refused caller is asked back: a
// shorter one would bring all those refused back within the same overload.
const shortestRetry = time.Second

// longestRetry bounds what a caller is told. The foretelling looks a few seconds
// ahead; a longer time would keep callers away after a short burst.
const longestRetry = 30 * time.Second

// Fair is the queue of one model: start-time fair queueing by organisation.
//
// It is made for one organisation sending many times its rate while others stay
// within theirs. With one common order of arrival, its backlog would stand before
// all others; here each organisation with waiting items gets service in
// proportion to its contract rate, and what it sends beyond waits behind itself.
type Fair struct {
	bound   int
	flows   map[galenastair.Organisation]*flow
	active  []*flow
	virtual float64
	length  int
	drain   drain
}

// NewFair returns an empty queue that holds at most bound items.
func NewFair(bound int) *Fair {
	return &Fair{bound: bound, flows: map[galenastair.Organisation]*flow{}}
}

// Len returns the number of waiting items.
func (q *Fair) Len() int { return q.length }

// Push adds an item, or refuses it or one that stands less fairly than it.
//
// Refusing at arrival what would run out of time in the queue spares its caller
// the wait and the backend servers an answer that nobody reads any more.
func (q *Fair) Push(now time.Time, it *Item) []Refused {
	var out []Refused
	f := q.flow(it)
	if wait, ok := q.foretell(now, f, it); ok && late(now, wait, it.Deadline) {
		over := wait - it.Deadline.Sub(now)
		if !f.lateFirst(now) {
			return []Refused{refuse(it, over, "the queue is too long for the deadline")}
		}
		// one that is late already is less likely to be served than the new one
		old := q.drop(f, 0)
		out = append(out, refuse(old, over, "the queue is too long for the deadline"))
	}
	if q.length == 0 {
		q.drain.begin(now)
	}
	q.add(f, it)
	if q.length > q.bound {
		out = append(out, q.Shed(now))
	}
	return out
}

// Next returns the item whose turn it is among those that fit, without taking it.
//
// Late items of all organisations wait for fresh ones of any: their organisations'
// tags stay behind meanwhile, so their next fresh items go first.
func (q *Fair) Next(now time.Time, fit func(*Item) bool) *Item {
	var best *flow
	var found *Item
	for _, f := range q.active {
		i := f.first(now, fit)
		if i < 0 {
			continue
		}
		it := f.items[i]
		if best == nil || it.Late(now) != found.Late(now) {
			if best == nil || found.Late(now) {
				best, found = f, it
			}
			continue
		}
		if f.start < best.start {
			best, found = f, it
		}
	}
	return found
}

// Heads yields for each organisation the first of its waiting items that fits.
func (q *Fair) Heads(now time.Time, fit func(*Item) bool, yield func(*Item)) {
	for _, f := range q.active {
		if i := f.first(now, fit); i >= 0 {
			yield(f.items[i])
		}
	}
}

// Take removes an item that now gets its service, and charges its organisation.
func (q *Fair) Take(now time.Time, it *Item) {
	f := q.flows[it.Organisation]
	i := slices.Index(f.items, it)
	if i < 0 {
		return
	}
	q.drain.took(now, float64(it.Cost))
	q.virtual = max(q.virtual, f.start)
	f.finish = f.start + float64(it.Cost)/f.weight
	f.start = f.finish
	q.drop(f, i)
}

// Remove takes out an item whose caller has given up; it reports whether it waited.
func (q *Fair) Remove(it *Item) bool {
	f := q.flows[it.Organisation]
	if f == nil {
		return false
	}
	i := slices.Index(f.items, it)
	if i < 0 {
		return false
	}
	q.drop(f, i)
	return true
}

// Refund gives an organisation back what a finished request did not use of its cost.
func (q *Fair) Refund(o galenastair.Organisation, unused galenastair.Tokens) {
	f := q.flows[o]
	if f == nil || unused <= 0 {
		return
	}
	f.finish -= float64(unused) / f.weight
	f.start = max(q.virtual, f.start-float64(unused)/f.weight)
}

// Expire takes out the items whose deadline has passed.
func (q *Fair) Expire(now time.Time) []Refused {
	var out []Refused
	for _, f := range slices.Clone(q.active) {
		for len(f.items) > 0 && late(now, 0, f.items[0].Deadline) {
			wait, _ := q.drain.wait(now, q.backlog())
			out = append(out, refuse(q.drop(f, 0), wait, "the deadline passed in the queue"))
		}
	}
	return out
}

// Clear takes out every item, for a cause that concerns them all.
func (q *Fair) Clear(cause error, retry time.Duration) []Refused {
	var out []Refused
	for _, f := range slices.Clone(q.active) {
		for len(f.items) > 0 {
			it := q.drop(f, 0)
			out = append(out, Refused{it, galenastair.Refuse(cause, retry, "")})
		}
	}
	return out
}

// Priority returns the level for the engine: 0 for an organisation with nothing
// else waiting, and one more for each doubling of the seconds of its own rate
// that it has waiting. Seconds of rate mean the same on every entry and model,
// which tags of one queue do not, so engines can compare the levels.
func (q *Fair) Priority(o galenastair.Organisation) int {
	f := q.flows[o]
	if f == nil {
		return 0
	}
	return min(MaxPriority, int(math.Log2(1+f.excess())))
}

func late(now time.Time, wait time.Duration, deadline time.Time) bool {
	return !deadline.IsZero() && now.Add(wait).After(deadline)
}

func refuse(it *Item, wait time.Duration, detail string) Refused {
	wait = min(max(wait, shortestRetry), longestRetry)
	return Refused{it, galenastair.Refuse(galenastair.ErrOverloaded, wait.Round(time.Millisecond), detail)}
}

// Shed drops one item of the organisation that has most waiting for its rate, when
// the queue, or all queues of an entry together, are full.
func (q *Fair) Shed(now time.Time) Refused {
	out := q.dropNewest(q.mostExcess())
	wait, _ := q.drain.wait(now, q.backlog())
	return refuse(out, wait, "the queue is full")
}
