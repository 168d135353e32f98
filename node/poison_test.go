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

// poisonSend is one arrival of the request that crashes servers.
type poisonSend struct {
	server string
	at     time.Time
}

func (c *cluster) poisonSends() []poisonSend {
	var out []poisonSend
	for id, r := range c.replicas {
		for _, run := range r.Runs() {
			if run.Body == poisonBody {
				out = append(out, poisonSend{id, run.StartedAt})
			}
		}
	}
	slices.SortFunc(out, func(a, b poisonSend) int { return a.at.Compare(b.at) })
	return out
}

// latePoisonSends returns how often the request was sent after all instances must refuse it, and
// whether it has crashed enough servers for that.
func (c *cluster) latePoisonSends() (int, bool) {
	sends := c.poisonSends()
	servers := map[string]bool{}
	for i, s := range sends {
		servers[s.server] = true
		if len(servers) < poisonThreshold {
			continue
		}
		end := s.at.Add(poisonTimeout)
		return len(slices.DeleteFunc(sends[i:], func(s poisonSend) bool { return s.at.Before(end) })), true
	}
	return 0, false
}

// newPoisonCluster returns a cluster of three nodes and five engines that the request crashes. The
// stand-ins keep running, as the same process.
func newPoisonCluster(t *testing.T) *cluster {
	c := newCluster(t, 3, "e3", "e4", "e5")
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
	late, refused := c.latePoisonSends()
	is.True(refused)
	is.True(late <= maxPoisonSends)
}

// Guards against restarted instances that know nothing of a request that all others refuse.
func TestRestartedInstancesRefuseKnownRequests(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newPoisonCluster(t)
	c.sendPoison(c.nodes, poisonTimeout)
	for i := range 3 {
		c.stopNode(c.nodes[i])
		n := c.startNode()
		c.waitFor("an accepted read", func() bool { return c.call(n, "/read/1", "", key).status == 200 })
		c.sendPoison([]*runningNode{n}, time.Second)
	}
	late, refused := c.latePoisonSends()
	is.True(refused)
	is.True(late <= maxPoisonSends)
}

// Guards against refusals that are lost when all instances restart at the same moment.
func TestRefusalsOutlastARestartOfAllInstances(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newPoisonCluster(t)
	c.sendPoison(c.nodes, poisonTimeout+2*time.Second)
	for range 2 {
		var stopped sync.WaitGroup
		for _, n := range c.nodes {
			stopped.Go(func() { c.stopNode(n) })
		}
		stopped.Wait()
		running := []*runningNode{c.startNode(), c.startNode(), c.startNode()}
		for _, n := range running {
			// other instances may hold the whole quota for a window after a restart of all
			c.waitAtMost(3*n.settings.Bounds.QuotaWindow, "an accepted read", func() bool { return c.call(n, "/read/1", "", key).status == 200 })
		}
		c.sendPoison(running, time.Second)
	}
	late, refused := c.latePoisonSends()
	is.True(refused)
	is.True(late <= maxPoisonSends)
}
