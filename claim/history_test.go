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

// run is one random history.
type run struct {
	world *world
	mu    sync.Mutex
	calls []history.Call
	given int
	moves int
}

func (r *run) record(c history.Call, do func() bool) bool {
	c.Start = r.world.Now()
	ok := do()
	c.End = r.world.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if ok {
		r.calls = append(r.calls, c)
	}
	if ok && !c.Finished {
		r.given++
	}
	return ok
}

// send is one caller's request: claim, send, and tell the outcome unless the sender dies first.
func (r *run) send(client, i int) {
	nodes := r.world.alive()
	n := nodes[r.world.pick(len(nodes))]
	key := fmt.Sprint("bid-", r.world.pick(4), "-", i/12)
	call := history.Call{Key: galenastair.IdempotencyKey(key), Caller: client}
	var c *Claim
	given := r.record(call, func() bool {
		var err error
		c, err = n.begin(key, "d", fmt.Sprint(client, "-", i))
		return err == nil
	})
	r.idle(r.world.pick(8))
	if !given || !n.Holds(time.Time{}) {
		return
	}
	call.Finished = true
	call.Outcome = []galenastair.Outcome{galenastair.NotRun, galenastair.NotRun, galenastair.Ran, galenastair.Unknown}[r.world.pick(4)]
	r.record(call, func() bool {
		c.Finish(call.Outcome)
		return true
	})
}

// churn kills one member after another, each after the copies lost with the
// last one were restored, while the others fold at their own pace.
func (r *run) churn(ctx context.Context) {
	w := r.world
	for ctx.Err() == nil {
		nodes := w.alive()
		victim := nodes[w.pick(len(nodes))]
		w.mu.Lock()
		victim.dead = true
		w.mu.Unlock()
		r.idle(5)
		w.move(victim.index)
		r.moves++
		for !w.settled() {
			r.idle(1)
		}
	}
}

// idle lets the world do something n times.
func (r *run) idle(n int) {
	w := r.world
	for range n {
		nodes := w.alive()
		node := nodes[w.pick(len(nodes))]
		switch w.pick(4) {
		case 0:
			node.fold()
		case 1:
			w.deliverLate()
		default:
			node.keeper.Tick(context.Background())
		}
	}
}

// settled says whether all have folded the newest view and restored what was lost.
func (w *world) settled() bool {
	for _, n := range w.alive() {
		w.mu.Lock()
		behind := n.folded() < len(w.views)-1
		w.mu.Unlock()
		if behind || n.keeper.restored() != n.Epoch() {
			return false
		}
	}
	return true
}

func (r *run) all(clients, requests int) {
	ctx, stop := context.WithCancel(context.Background())
	churned := make(chan struct{})
	go func() { defer close(churned); r.churn(ctx) }()
	var callers sync.WaitGroup
	for client := range clients {
		callers.Go(func() {
			for i := range requests {
				r.send(client, i)
			}
		})
	}
	callers.Wait()
	stop()
	<-churned
}

// A user sees a bid entered twice: its caller repeats it through another entry
// while entries die, homes move, and messages are lost, repeated and late.
//
// The rules that it was seen to catch are listed in doc.go.
func TestKeyIsGivenOnce(t *testing.T) {
	is := is.New(t)
	given, moves := 0, 0
	for seed := range uint64(runs()) {
		r := &run{world: newWorld(seed, 6)}
		r.world.faults = true
		r.all(4, 60)
		given += r.given
		moves += r.moves
		if err := history.Check(r.calls, 10*time.Second); err != nil {
			t.Fatalf("seed %d: %s, after %d calls", seed, err, len(r.calls))
		}
	}
	t.Logf("%d runs, %d epochs, %d claims given", runs(), moves, given)
	is.True(given > runs()*10)
}
