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
	// limitTimeout is the time after it was first advertised from which a limit must hold.
	limitTimeout = 3 * time.Second
	// Within limitWindow at most limitRatio times the number of requests that the limit allows
	// may arrive, plus limitSlack requests.
	limitWindow = 4 * time.Second
	limitRatio  = 1.5
	limitSlack  = 5
)

// maxInWindow returns the largest number of times in any window that begins at or after from.
func maxInWindow(times []time.Time, from time.Time, window time.Duration) int {
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

// maxArrivals has e1 advertise a limit, sends requests through all nodes until two windows after the
// limit must hold, and returns the largest number of requests that e1 received in a window. It
// calls event when the limit starts to hold.
func (c *cluster) maxArrivals(limit float64, event func()) int {
	c.replicas["e1"].UpdateFaults(func(s *replica.Faults) { s.ServerLimit = limit })
	advertised := time.Now()
	var callers sync.WaitGroup
	for _, n := range c.nodes {
		callers.Go(func() {
			for time.Since(advertised) < limitTimeout+2*limitWindow {
				c.call(n, "/stream/1", "m2", key)
				c.call(n, "/stream/1", "m1", key)
				time.Sleep(200 * time.Millisecond)
			}
		})
	}
	time.Sleep(time.Until(advertised.Add(limitTimeout)))
	event()
	callers.Wait()
	var times []time.Time
	for _, r := range c.replicas["e1"].Runs() {
		times = append(times, r.StartedAt)
	}
	return maxInWindow(times, advertised.Add(limitTimeout), limitWindow)
}

// maxAllowed returns the number of requests that may arrive within limitWindow.
func maxAllowed(limit float64) int { return int(limitRatio*limit*limitWindow.Seconds()) + limitSlack }

// A backend server advertises how many requests per second it accepts. All instances together must
// stay within that limit.
func TestInstancesShareServerLimit(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCluster(t, 3)
	is.True(c.maxArrivals(1, func() {}) <= maxAllowed(1))
}

// The leader stops while a limit holds. The next leader must not grant again what its
// predecessor has granted.
func TestLimitHoldsAcrossLeaderChange(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCluster(t, 3)
	is.True(c.maxArrivals(1, func() { c.stopNode(c.leader()) }) <= maxAllowed(1))
}

// leader returns the node whose status reports that it is the leader.
func (c *cluster) leader() *runningNode {
	c.t.Helper()
	var found *runningNode
	c.waitFor("a leader", func() bool {
		for _, n := range c.nodes {
			if c.isLeader(n) {
				found = n
			}
		}
		return found != nil
	})
	return found
}

func (c *cluster) isLeader(n *runningNode) bool {
	c.t.Helper()
	resp, err := http.Get("http://" + n.settings.MetricsAddress + StatusPath)
	if err != nil {
		c.t.Fatal(err)
	}
	defer resp.Body.Close()
	var s Status
	if err := json.NewDecoder(resp.Body).Decode(&s); err != nil {
		c.t.Fatal(err)
	}
	return s.IsLeader
}
