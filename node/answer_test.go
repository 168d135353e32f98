package node

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"galenastair/standin/replica"
)

const (
	// A server that declines may ask for a backoff. From backoffDelay after its answer to the end
	// of that time, at most maxBackoffArrivals requests may reach it from one instance.
	backoffDelay       = 500 * time.Millisecond
	maxBackoffArrivals = 2
)

// Guards against requests to a server that has announced in its answers that it is leaving, while its
// registration says nothing of it.
func TestServerThatAnnouncesLeavingInAnswersGetsNoNewRequests(t *testing.T) {
	t.Parallel()
	for _, c := range []struct{ server, path, model string }{{"p1", "/read/1", ""}, {"e2", "/stream/1", "m1"}, {"e1", "/stream/1", "m2"}} {
		t.Run(c.server, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			cl := newCluster(t, 1)
			r := cl.replicas[c.server]
			r.UpdateFaults(func(f *replica.Faults) { f.Leaving = true })
			before := len(r.Runs())
			cl.waitFor("an answer of the leaving server", func() bool {
				cl.call(cl.nodes[0], c.path, c.model, key)
				return len(r.Runs()) > before
			})
			time.Sleep(cl.nodes[0].settings.Bounds.LeaveTimeout)
			before = len(r.Runs())
			for range 40 {
				cl.call(cl.nodes[0], c.path, c.model, key)
			}
			is.Equal(len(r.Runs()), before)
		})
	}
}

// Guards against requests to a server that has asked this instance for a backoff.
func TestServerThatAsksForBackoffGetsNoRequests(t *testing.T) {
	t.Parallel()
	for _, c := range []struct{ server, path, model string }{{"p1", "/read/1", ""}, {"e1", "/stream/1", "m2"}} {
		t.Run(c.server, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			cl := newCluster(t, 1)
			const backoff = 2 * time.Second
			r := cl.replicas[c.server]
			r.UpdateFaults(func(f *replica.Faults) { f.Decline, f.RetryAfter = true, backoff.Seconds() })
			cl.waitFor("a declined request", func() bool {
				cl.call(cl.nodes[0], c.path, c.model, key)
				return len(r.Declines()) > 0
			})
			first := r.Declines()[0].At
			for time.Since(first) < backoff-50*time.Millisecond {
				cl.call(cl.nodes[0], c.path, c.model, key)
				time.Sleep(5 * time.Millisecond)
			}
			arrivals := 0
			for _, d := range r.Declines() {
				if d.At.After(first.Add(backoffDelay)) {
					arrivals++
				}
			}
			is.True(arrivals <= maxBackoffArrivals)
			cl.waitFor("a request after the backoff", func() bool {
				cl.call(cl.nodes[0], c.path, c.model, key)
				return len(r.Declines()) > 1
			})
		})
	}
}
