package node

import (
	"cmp"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"galenastair/standin/replica"
)

const (
	// crashPart is the part of a prompt that crashes servers. Later than poisonTimeout after the
	// partCrashes-th crash, at most maxPoisonSends requests with it may be sent.
	crashPart   = "bad0"
	partCrashes = 5
)

// newPromptCluster returns a cluster of three nodes and six engines that a part of a prompt crashes.
func newPromptCluster(t *testing.T) *cluster {
	c := newCluster(t, 3, "e3", "e4", "e5", "e6")
	for _, r := range c.replicas {
		r.UpdateFaults(func(f *replica.Faults) { f.CrashPart, f.EventInterval = crashPart, 5*time.Millisecond })
	}
	return c
}

// promptTraffic is requests that share their first part, some of them with the part that crashes servers.
type promptTraffic struct {
	c *cluster
	// crashes returns when requests with the part reached servers; nil if the servers are those of the cluster.
	crashes func() []time.Time
	// crashInterval is the time between requests of a caller with the part, and soundAfter how long after the
	// refusal is due the others must be served.
	crashInterval, soundAfter time.Duration
	// inTouchFrom is when the nodes are in touch with each other and the store, from which the bounds apply.
	inTouchFrom time.Time
	// readAll has callers read the responses to their ends.
	readAll  bool
	sequence atomic.Int64
	mu       sync.Mutex
	sound    []soundRequest
}

// soundRequest is the result of a request without the part that crashes servers.
type soundRequest struct {
	at     time.Time
	served bool
}

// send sends one request; no two are alike.
func (p *promptTraffic) send(n *runningNode, part string) bool {
	req := p.c.streamRequest(newAttemptID(), n)
	req.Header.Set("Galenastair-Prompt-Prefix", fmt.Sprintf("a0:40,%s:20,%x:40", part, 0x1000+p.sequence.Add(1)))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	if p.readAll {
		_, _ = io.Copy(io.Discard, resp.Body)
	}
	return resp.StatusCode == http.StatusOK
}

// run sends both kinds of requests through the nodes for some time.
func (p *promptTraffic) run(nodes []*runningNode, duration time.Duration) {
	var callers sync.WaitGroup
	callers.Go(func() { p.runSound(nodes, duration) })
	end := time.Now().Add(duration)
	for _, n := range nodes {
		callers.Go(func() {
			for time.Now().Before(end) {
				p.send(n, crashPart)
				time.Sleep(cmp.Or(p.crashInterval, 150*time.Millisecond))
			}
		})
	}
	callers.Wait()
}

// runSound sends requests without the part.
func (p *promptTraffic) runSound(nodes []*runningNode, duration time.Duration) {
	end := time.Now().Add(duration)
	var callers sync.WaitGroup
	for _, n := range nodes {
		callers.Go(func() {
			for i := 0; time.Now().Before(end); i++ {
				at := time.Now()
				served := p.send(n, fmt.Sprintf("c%d", i%3))
				p.mu.Lock()
				p.sound = append(p.sound, soundRequest{at, served})
				p.mu.Unlock()
				time.Sleep(30 * time.Millisecond)
			}
		})
	}
	callers.Wait()
}

// servedAfter returns the number of requests without the part that were sent after a time, and of those served.
func (p *promptTraffic) servedAfter(at time.Time) (sent, served int) {
	for _, r := range p.sound {
		if r.at.After(at) {
			sent++
			if r.served {
				served++
			}
		}
	}
	return sent, served
}

func hasCrashPart(run replica.Run) bool { return strings.Contains(run.PromptPrefix, ","+crashPart+":") }

// crashTimes returns when requests with the part reached servers.
func (c *cluster) crashTimes() []time.Time {
	var out []time.Time
	for _, r := range c.replicas {
		for _, run := range r.Runs() {
			if hasCrashPart(run) {
				out = append(out, run.StartedAt)
			}
		}
	}
	slices.SortFunc(out, time.Time.Compare)
	return out
}

func (p *promptTraffic) crashTimes() []time.Time {
	if p.crashes != nil {
		return p.crashes()
	}
	return p.c.crashTimes()
}

// refusalDue returns from when on the part must be refused: some time after the fifth crash, or the last
// of fewer.
func refusalDue(t *testing.T, crashes []time.Time) time.Time {
	t.Helper()
	if len(crashes) == 0 {
		t.Fatal("no server has crashed")
	}
	return crashes[min(partCrashes, len(crashes))-1].Add(poisonTimeout)
}

// check checks that servers get the part no more, and that the other requests are served.
func (p *promptTraffic) check() {
	p.c.t.Helper()
	crashes := p.crashTimes()
	end := refusalDue(p.c.t, crashes)
	if p.inTouchFrom.After(end) {
		end = p.inTouchFrom
	}
	if late := len(slices.DeleteFunc(slices.Clone(crashes), func(at time.Time) bool { return at.Before(end) })); late > maxPoisonSends {
		p.c.t.Errorf("%d requests with the part were sent later than %s after the fifth crash", late, poisonTimeout)
	}
	sent, served := p.servedAfter(end.Add(p.soundAfter))
	if sent == 0 || served < sent/2 {
		p.c.t.Errorf("%d of %d requests without the part were served", served, sent)
	}
	p.c.t.Logf("%d requests with the part reached servers; later, %d of %d without it were served", len(crashes), served, sent)
}

// Guards against a part of a prompt that crashes one server after the other, in requests that differ
// otherwise, and against the refusal of the requests that share their other parts.
func TestPromptPartThatCrashesServersIsRefused(t *testing.T) {
	t.Parallel()
	c := newPromptCluster(t)
	p := &promptTraffic{c: c}
	p.run(c.nodes, 3*poisonTimeout)
	p.check()
}

// Guards against restarted instances that know nothing of a part that all others refuse.
func TestRestartedInstancesRefuseKnownPromptParts(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newPromptCluster(t)
	p := &promptTraffic{c: c}
	p.run(c.nodes, poisonTimeout)
	is.True(len(c.crashTimes()) >= 1)
	for i := range 3 {
		c.stopNode(c.nodes[i])
		n := c.startNode()
		c.waitFor("an accepted read", func() bool { return c.call(n, "/read/1", "", key).status == 200 })
		p.run([]*runningNode{n}, poisonTimeout/2)
	}
	p.check()
}

// Guards against parts that are forgotten when all instances restart at the same moment.
func TestRefusedPromptPartsOutlastARestartOfAllInstances(t *testing.T) {
	t.Parallel()
	c := newPromptCluster(t)
	p := &promptTraffic{c: c}
	p.run(c.nodes, poisonTimeout+2*time.Second)
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
	p.run(running, 2*time.Second)
	p.check()
}
