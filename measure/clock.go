package measure

import (
	"container/heap"
	"time"
)

// event is an action scheduled at a time. Events at the same time run in the order in
// which they were scheduled.
type event struct {
	at     time.Time
	seq    int
	action func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].seq < e[j].seq
	}
	return e[i].at.Before(e[j].at)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// clock is the virtual clock of one run; it advances from event to event.
type clock struct {
	now     time.Time
	pending events
	seq     int
}

func (c *clock) after(d time.Duration, do func()) { c.at(c.now.Add(d), do) }

func (c *clock) at(t time.Time, do func()) {
	c.seq++
	heap.Push(&c.pending, event{t, c.seq, do})
}

func (c *clock) every(d time.Duration, do func()) {
	c.after(d, func() {
		do()
		c.every(d, do)
	})
}

func (c *clock) run(until time.Time) {
	for len(c.pending) > 0 && c.pending[0].at.Before(until) {
		e := heap.Pop(&c.pending).(event)
		c.now = e.at
		e.action()
	}
}
