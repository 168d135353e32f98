package node

import (
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"galenastair/standin/replica"
)

const (
	// limitTimeout is how long after a backend server first named a limit it must be kept.
	limitTimeout = 3 * time.Second
	// limitWindow is the span in which at most limitOver of what the limit allows may arrive,
	// and limitSlack requests more.
	limitWindow = 4 * time.Second
	limitOver   = 1.5
	limitSlack  = 5
)

// most returns how many of the times lie in the fullest window that begins at a time or later.
func most(times []time.Time, from time.Time, window time.Duration) int {
	best := 0
	for i, begin := range times {
		if begin.Before(from) {
			continue
		}
		n := 0
		for _, t := range times[i:] {
			if t.Sub(begin) < window {
				n++
			}
		}
		best = max(best, n)
	}
	return best
}

// A backend server names how many requests a second it takes from all instances together, and
// gets as many as before.
func TestInstancesKeepAServersLimitTogether(t *testing.T) {
	const limit = 1.0
	is := is.New(t)
	x := newSite(t, 3)
	x.replicas["e1"].Switch(func(s *replica.Switches) { s.Limit = limit })
	named := time.Now()
	var callers sync.WaitGroup
	for _, n := range x.nodes {
		callers.Go(func() {
			for time.Since(named) < limitTimeout+limitWindow+time.Second {
				x.call(n, "/stream/1", "m2", key)
				x.call(n, "/stream/1", "m1", key)
				time.Sleep(200 * time.Millisecond)
			}
		})
	}
	callers.Wait()
	var times []time.Time
	for _, r := range x.replicas["e1"].Runs() {
		times = append(times, r.At)
	}
	is.True(most(times, named.Add(limitTimeout), limitWindow) <= int(limitOver*limit*limitWindow.Seconds())+limitSlack)
}
