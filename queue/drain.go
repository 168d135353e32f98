package queue

import "time"

// drainMemory is how far back the drain rate looks: long enough for some ten
// short requests, short enough to follow a backend server that goes away.
const drainMemory = 4 * time.Second

// drainSample is the least busy time from which a wait is foretold. Below it one
// odd request would decide whether others are refused.
const drainSample = 200 * time.Millisecond

// drain measures how fast a queue empties while something waits in it.
type drain struct {
	since time.Time
	cost  float64
	busy  time.Duration
}

// begin starts a busy period.
func (d *drain) begin(now time.Time) { d.since = now }

// took counts an item taken while others waited.
func (d *drain) took(now time.Time, cost float64) {
	d.busy += now.Sub(d.since)
	d.cost += cost
	d.since = now
	if d.busy > drainMemory {
		keep := float64(drainMemory) / float64(d.busy)
		d.cost *= keep
		d.busy = drainMemory
	}
}

// wait foretells how long the given work takes; false if nothing is known yet.
func (d *drain) wait(now time.Time, work float64) (time.Duration, bool) {
	busy := d.busy + now.Sub(d.since)
	if busy < drainSample || d.cost <= 0 {
		return 0, false
	}
	return time.Duration(work / d.cost * float64(busy)), true
}
