package claim

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"galenastair"
	"galenastair/claim/history"
)

// historyRun records one random history of calls.
type historyRun struct {
	cluster      *cluster
	mu           sync.Mutex
	calls        []history.Call
	granted      int
	epochChanges int
}

func (r *historyRun) record(c history.Call, do func() bool) bool {
	c.Start = r.cluster.Now()
	ok := do()
	c.End = r.cluster.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if ok {
		r.calls = append(r.calls, c)
	}
	if ok && !c.Finished {
		r.granted++
	}
	return ok
}

// sendRequest claims a key, sends, and reports the outcome unless the sender has been stopped.
func (r *historyRun) sendRequest(client, i int) {
	nodes := r.cluster.runningNodes()
	n := nodes[r.cluster.randomInt(len(nodes))]
	key := fmt.Sprint("bid-", r.cluster.randomInt(4), "-", i/12)
	call := history.Call{Key: galenastair.IdempotencyKey(key), Client: client}
	var c *Claim
	granted := r.record(call, func() bool {
		var err error
		c, err = n.begin(key, "d", fmt.Sprint(client, "-", i))
		return err == nil
	})
	r.runRandomSteps(r.cluster.randomInt(8))
	if !granted || !n.HoldsLease(time.Time{}) {
		return
	}
	call.Finished = true
	call.Outcome = []galenastair.Outcome{galenastair.OutcomeNotRun, galenastair.OutcomeNotRun, galenastair.OutcomeRan, galenastair.OutcomeUnknown}[r.cluster.randomInt(4)]
	r.record(call, func() bool {
		c.Finish(call.Outcome)
		return true
	})
}

// replaceMembers stops one member after another, while the others apply epochs at different
// times. It waits until the copies lost with one member have been replaced before it stops
// the next.
func (r *historyRun) replaceMembers(ctx context.Context) {
	c := r.cluster
	for ctx.Err() == nil {
		nodes := c.runningNodes()
		stopping := nodes[c.randomInt(len(nodes))]
		c.mu.Lock()
		stopping.stopped = true
		c.mu.Unlock()
		r.runRandomSteps(5)
		c.changeMembers(stopping.index)
		r.epochChanges++
		for !c.converged() {
			r.runRandomSteps(1)
		}
	}
}

// runRandomSteps runs n random steps of the cluster.
func (r *historyRun) runRandomSteps(n int) {
	c := r.cluster
	for range n {
		nodes := c.runningNodes()
		node := nodes[c.randomInt(len(nodes))]
		switch c.randomInt(4) {
		case 0:
			node.applyNextEpoch()
		case 1:
			c.deliverDelayedMessage()
		default:
			node.manager.Tick(context.Background())
		}
	}
}

// converged reports whether all nodes have applied the last epoch and replaced lost copies.
func (c *cluster) converged() bool {
	for _, n := range c.runningNodes() {
		c.mu.Lock()
		behind := n.appliedEpoch() < len(c.epochs)-1
		c.mu.Unlock()
		if behind || n.manager.lastRestoredEpoch() != n.Epoch() {
			return false
		}
	}
	return true
}

func (r *historyRun) runClients(clients, requests int) {
	ctx, stop := context.WithCancel(context.Background())
	replaced := make(chan struct{})
	go func() { defer close(replaced); r.replaceMembers(ctx) }()
	var clientGroup sync.WaitGroup
	for client := range clients {
		clientGroup.Go(func() {
			for i := range requests {
				r.sendRequest(client, i)
			}
		})
	}
	clientGroup.Wait()
	stop()
	<-replaced
}

// A bid runs twice if its key is granted twice. That can happen when a caller repeats the bid
// through another instance while instances die, owners change, and messages are lost,
// duplicated and delayed.
//
// doc.go lists the faults in the implementation with which this test fails.
func TestKeyIsGrantedOnce(t *testing.T) {
	is := is.New(t)
	granted, epochChanges := 0, 0
	for seed := range uint64(historyCount()) {
		r := &historyRun{cluster: newCluster(seed, 6)}
		r.cluster.injectFaults = true
		r.runClients(4, 60)
		granted += r.granted
		epochChanges += r.epochChanges
		if err := history.Check(r.calls, 10*time.Second); err != nil {
			t.Fatalf("seed %d: %s, after %d calls", seed, err, len(r.calls))
		}
	}
	t.Logf("%d histories, %d epochs, %d claims granted", historyCount(), epochChanges, granted)
	is.True(granted > historyCount()*10)
}
