package queue

import (
	"math"
	"slices"
	"time"

	"galenastair"
)

// MaxWaiting bounds the items of one model. A waiting request holds a goroutine and its body,
// about 20 KB together, in an entry of 64 MB. At 20 requests a second for a model, no caller waits
// long enough for 256 others to be served first.
const MaxWaiting = 256

// MaxPriority is the least urgent priority level sent to an engine.
const MaxPriority = 15

// minRetryAfter is the least retry delay of a refused caller. A shorter one would bring all
// refused callers back during the same overload.
const minRetryAfter = time.Second

// maxRetryAfter is the greatest retry delay. Estimates look a few seconds ahead, and a longer
// delay would keep callers away after a short burst.
const maxRetryAfter = 30 * time.Second

// Fair is the queue of one model: start-time fair queueing by organisation.
//
// It is designed for one organisation that sends many times its rate while others stay within
// theirs. In a common FIFO queue its backlog would delay all others. Here each organisation with
// waiting items is served in proportion to its contract rate, and its excess waits behind its own
// items.
type Fair struct {
	capacity    int
	flows       map[galenastair.Organisation]*flow
	active      []*flow
	virtualTime float64
	length      int
	drain       drainRate
}

// NewFair returns an empty queue that holds at most capacity items.
func NewFair(capacity int) *Fair {
	return &Fair{capacity: capacity, flows: map[galenastair.Organisation]*flow{}}
}

// Len returns the number of waiting items.
func (q *Fair) Len() int { return q.length }

// Push adds an item. It returns the items that are refused for it: the item itself, or one with
// less claim to be served.
//
// An item that would miss its deadline is refused on arrival. That spares its caller the wait, and
// the backend servers a response that is no longer read.
func (q *Fair) Push(now time.Time, it *Item) []Refused {
	var out []Refused
	f := q.flow(it)
	if wait, ok := q.estimateItemWait(now, f, it); ok && missesDeadline(now, wait, it.Deadline) {
		over := wait - it.Deadline.Sub(now)
		if !f.firstIsLate(now) {
			return []Refused{newRefused(it, over, "the queue is too long for the deadline")}
		}
		// an item that is already late is less likely to be served than the new one
		old := q.removeAt(f, 0)
		out = append(out, newRefused(old, over, "the queue is too long for the deadline"))
	}
	if q.length == 0 {
		q.drain.start(now)
	}
	q.add(f, it)
	if q.length > q.capacity {
		out = append(out, q.Shed(now))
	}
	return out
}

// Next returns the next item among those that fit, without taking it.
//
// Late items of any organisation wait for items that are not late. Their organisations' tags do
// not advance meanwhile, so the next items of these organisations that are not late go first.
func (q *Fair) Next(now time.Time, fit func(*Item) bool) *Item {
	var best *flow
	var found *Item
	for _, f := range q.active {
		i := f.firstFitting(now, fit)
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
		if f.startTag < best.startTag {
			best, found = f, it
		}
	}
	return found
}

// Heads yields for each organisation the first of its waiting items that fits.
func (q *Fair) Heads(now time.Time, fit func(*Item) bool, yield func(*Item)) {
	for _, f := range q.active {
		if i := f.firstFitting(now, fit); i >= 0 {
			yield(f.items[i])
		}
	}
}

// Take removes an item that is being served, and charges its organisation.
func (q *Fair) Take(now time.Time, it *Item) {
	f := q.flows[it.Organisation]
	i := slices.Index(f.items, it)
	if i < 0 {
		return
	}
	q.drain.record(now, float64(it.Cost))
	q.virtualTime = max(q.virtualTime, f.startTag)
	f.finishTag = f.startTag + float64(it.Cost)/f.weight
	f.startTag = f.finishTag
	q.removeAt(f, i)
}

// Remove removes an item whose caller has given up, and reports whether it was waiting.
func (q *Fair) Remove(it *Item) bool {
	f := q.flows[it.Organisation]
	if f == nil {
		return false
	}
	i := slices.Index(f.items, it)
	if i < 0 {
		return false
	}
	q.removeAt(f, i)
	return true
}

// Refund returns to an organisation the part of a finished request's cost that was not used.
func (q *Fair) Refund(o galenastair.Organisation, unused galenastair.Tokens) {
	f := q.flows[o]
	if f == nil || unused <= 0 {
		return
	}
	f.finishTag -= float64(unused) / f.weight
	f.startTag = max(q.virtualTime, f.startTag-float64(unused)/f.weight)
}

// Expire removes the items whose deadline has passed.
func (q *Fair) Expire(now time.Time) []Refused {
	var out []Refused
	for _, f := range slices.Clone(q.active) {
		for len(f.items) > 0 && missesDeadline(now, 0, f.items[0].Deadline) {
			wait, _ := q.drain.estimate(now, q.backlog())
			out = append(out, newRefused(q.removeAt(f, 0), wait, "the deadline passed in the queue"))
		}
	}
	return out
}

// Clear removes all items, for a cause that affects all of them.
func (q *Fair) Clear(cause error, retry time.Duration) []Refused {
	var out []Refused
	for _, f := range slices.Clone(q.active) {
		for len(f.items) > 0 {
			it := q.removeAt(f, 0)
			out = append(out, Refused{it, galenastair.NewRefusal(cause, retry, "")})
		}
	}
	return out
}

// Priority returns the priority level for the engine: 0 for an organisation with no other request
// waiting, and one more for each doubling of its backlog in seconds of its own rate. Seconds of
// rate mean the same at every entry and model, unlike the tags of one queue, so engines can
// compare the levels.
func (q *Fair) Priority(o galenastair.Organisation) int {
	f := q.flows[o]
	if f == nil {
		return 0
	}
	return min(MaxPriority, int(math.Log2(1+f.backlogSeconds())))
}

func missesDeadline(now time.Time, wait time.Duration, deadline time.Time) bool {
	return !deadline.IsZero() && now.Add(wait).After(deadline)
}

func newRefused(it *Item, wait time.Duration, detail string) Refused {
	wait = min(max(wait, minRetryAfter), maxRetryAfter)
	return Refused{it, galenastair.NewRefusal(galenastair.ErrOverloaded, wait.Round(time.Millisecond), detail)}
}

// Shed drops one item of the organisation with the largest backlog for its rate, when this queue,
// or all queues of an entry together, are full.
func (q *Fair) Shed(now time.Time) Refused {
	out := q.dropNewest(q.largestBacklog())
	wait, _ := q.drain.estimate(now, q.backlog())
	return newRefused(out, wait, "the queue is full")
}
