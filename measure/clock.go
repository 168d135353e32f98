package measure

import (
	"container/heap"
	"time"
)

// event is something due at a time; equal times go in the order of their making.
type event struct {
	at    time.Time
	order int
	do    func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].order < e[j].order
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

// clock is the time of one run, moved by hand from event to event.
type clock struct {
	now   time.Time
	due   events
	order int
}

func (c *clock) after(d time.Duration, do func()) { c.at(c.now.Add(d), do) }

func (c *clock) at(t time.Time, do func()) {
	c.order++
	heap.Push(&c.due, event{t, c.order, do})
}

func (c *clock) every(d time.Duration, do func()) {
	c.after(d, func() {
		do()
		c.every(d, do)
	})
}

func (c *clock) run(until time.Time) {
	for len(c.due) > 0 && c.due[0].at.Before(until) {
		e := heap.Pop(&c.due).(event)
		c.now = e.at
		e.do()
	}
}
