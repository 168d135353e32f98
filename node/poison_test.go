package node

import (
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"galenastair/standin/replica"
)

const (
	poisonBody = "body that crashes servers"
	// From poisonTimeout after a request has crashed poisonThreshold servers, it may be sent
	// maxPoisonSends times more.
	poisonTimeout  = 3 * time.Second
	maxPoisonSends = 3
)

// sendPoison sends the request that crashes servers through the nodes for some time.
func (c *cluster) sendPoison(nodes []*runningNode, duration time.Duration) {
	end := time.Now().Add(duration)
	var callers sync.WaitGroup
	for _, n := range nodes {
		callers.Go(func() {
			for time.Now().Before(end) {
				c.attemptBody(newAttemptID(), n, "/stream/1", "m1", key, poisonBody)
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	callers.Wait()
}

// poisonSends returns the times at which the request that crashes servers reached one.
func (c *cluster) poisonSends() []time.Time {
	var out []time.Time
	for _, r := range c.replicas {
		for _, run := range r.Runs() {
			if run.Body == poisonBody {
				out = append(out, run.StartedAt)
			}
		}
	}
	slices.SortFunc(out, time.Time.Compare)
	return out
}

// latePoisonSends returns how often the request was sent after all instances must refuse it.
func (c *cluster) latePoisonSends() int {
	sends := c.poisonSends()
	if len(sends) < poisonThreshold {
		return 0
	}
	end := sends[poisonThreshold-1].Add(poisonTimeout)
	return len(slices.DeleteFunc(sends, func(t time.Time) bool { return t.Before(end) }))
}

func newPoisonCluster(t *testing.T) *cluster {
	c := newCluster(t, 3)
	for _, r := range c.replicas {
		r.UpdateFaults(func(f *replica.Faults) { f.CrashBody = poisonBody })
	}
	return c
}

// Guards against a request that crashes each server after the response header and is sent on and on.
func TestRequestThatCrashesServersIsRefusedByAllInstances(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newPoisonCluster(t)
	c.sendPoison(c.nodes, 2*poisonTimeout)
	is.True(len(c.poisonSends()) >= poisonThreshold)
	is.True(c.latePoisonSends() <= maxPoisonSends)
}
