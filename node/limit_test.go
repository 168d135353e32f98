package node

import (
	"encoding/json"
	"net/http"
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

// limited has e1 name a limit, calls all nodes for as long as it must be kept and a while more,
// and returns the most requests that e1 got in a window. The event comes when the limit binds.
func (x *site) limited(limit float64, event func()) int {
	x.replicas["e1"].Switch(func(s *replica.Switches) { s.Limit = limit })
	named := time.Now()
	var callers sync.WaitGroup
	for _, n := range x.nodes {
		callers.Go(func() {
			for time.Since(named) < limitTimeout+2*limitWindow {
				x.call(n, "/stream/1", "m2", key)
				x.call(n, "/stream/1", "m1", key)
				time.Sleep(200 * time.Millisecond)
			}
		})
	}
	time.Sleep(time.Until(named.Add(limitTimeout)))
	event()
	callers.Wait()
	var times []time.Time
	for _, r := range x.replicas["e1"].Runs() {
		times = append(times, r.At)
	}
	return most(times, named.Add(limitTimeout), limitWindow)
}

// allowed is the most that may arrive in a window.
func allowed(limit float64) int { return int(limitOver*limit*limitWindow.Seconds()) + limitSlack }

// A backend server names how many requests a second it takes from all instances together, and
// gets as many as before.
func TestInstancesKeepAServersLimitTogether(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	x := newSite(t, 3)
	is.True(x.limited(1, func() {}) <= allowed(1))
}

// The leader ends while a limit is in force, and the next one grants what it has granted.
func TestLimitIsKeptWhileTheLeaderChanges(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	x := newSite(t, 3)
	is.True(x.limited(1, func() { x.end(x.leader()) }) <= allowed(1))
}

// leader returns the node that leads, as the nodes' status tells.
func (x *site) leader() *running {
	x.t.Helper()
	var found *running
	x.until("a leader", func() bool {
		for _, n := range x.nodes {
			if x.leads(n) {
				found = n
			}
		}
		return found != nil
	})
	return found
}

func (x *site) leads(n *running) bool {
	x.t.Helper()
	resp, err := http.Get("http://" + n.settings.MetricsAddress + StatusPath)
	if err != nil {
		x.t.Fatal(err)
	}
	defer resp.Body.Close()
	var s Status
	if err := json.NewDecoder(resp.Body).Decode(&s); err != nil {
		x.t.Fatal(err)
	}
	return s.Plans
}
