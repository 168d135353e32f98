package queue

import "time"

// drainWindow is how far back the drain rate looks. It is long enough for about ten short
// requests, and short enough to follow the loss of a backend server.
const drainWindow = 4 * time.Second

// minDrainSample is the least busy time for an estimate. With less, one unusual request would
// decide whether others are refused.
const minDrainSample = 200 * time.Millisecond

// drainRate measures how fast a queue drains while items wait in it.
type drainRate struct {
	lastTaken time.Time
	cost      float64
	busy      time.Duration
}

// start begins a busy period.
func (d *drainRate) start(now time.Time) { d.lastTaken = now }

// record counts an item that was taken while others waited.
func (d *drainRate) record(now time.Time, cost float64) {
	d.busy += now.Sub(d.lastTaken)
	d.cost += cost
	d.lastTaken = now
	if d.busy > drainWindow {
		keep := float64(drainWindow) / float64(d.busy)
		d.cost *= keep
		d.busy = drainWindow
	}
}

// estimate returns how long the given work takes; false if there is too little data.
func (d *drainRate) estimate(now time.Time, work float64) (time.Duration, bool) {
	busy := d.busy + now.Sub(d.lastTaken)
	if busy < minDrainSample || d.cost <= 0 {
		return 0, false
	}
	return time.Duration(work / d.cost * float64(busy)), true
}
