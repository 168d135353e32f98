package claim

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/matryer/is"

	"galenastair"
)

type callInput struct {
	key    string
	finish galenastair.Outcome
}

// keyState is what a register of one key must look like: free, taken, or used up.
type keyState int

const (
	keyFree keyState = iota
	keyTaken
	keyUsed
)

// keyModel lets a claim be given only while its key is free; a refusal is always allowed.
var keyModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := make(map[string][]porcupine.Operation)
		for _, op := range history {
			key := op.Input.(callInput).key
			byKey[key] = append(byKey[key], op)
		}
		var parts [][]porcupine.Operation
		for _, part := range byKey {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() any { return keyFree },
	Step: func(state, input, output any) (bool, any) {
		in, given := input.(callInput), output.(bool)
		switch {
		case in.finish == galenastair.NotRun:
			return state == keyTaken, keyFree
		case in.finish != "":
			return state == keyTaken, keyUsed
		case given:
			return state == keyFree, keyTaken
		default:
			return true, state
		}
	},
}

// run is one random history.
type run struct {
	world *world
	mu    sync.Mutex
	ops   []porcupine.Operation
	given int
	moves int
}

func (r *run) record(client int, in callInput, do func() bool) bool {
	call := r.world.Now().UnixNano()
	out := do()
	end := r.world.Now().UnixNano()
	r.mu.Lock()
	defer r.mu.Unlock()
	if out && in.finish == "" {
		r.given++
	}
	if out || in.finish != "" {
		r.ops = append(r.ops, porcupine.Operation{ClientId: client, Input: in, Call: call, Output: out, Return: end})
	}
	return out
}

// send is one caller's request: claim, send, and tell the outcome unless the sender dies first.
func (r *run) send(client, i int) {
	nodes := r.world.alive()
	n := nodes[r.world.pick(len(nodes))]
	key := fmt.Sprint("bid-", r.world.pick(4), "-", i/12)
	var c *Claim
	request := galenastair.RequestID(fmt.Sprint(client, "-", i))
	given := r.record(client, callInput{key: key}, func() bool {
		var err error
		c, err = n.keeper.Begin(context.Background(), "Furnir", galenastair.IdempotencyKey(key), "d", request)
		return err == nil
	})
	r.idle(r.world.pick(8))
	if !given || !n.Holds(time.Time{}) {
		return
	}
	outcome := []galenastair.Outcome{galenastair.NotRun, galenastair.NotRun, galenastair.Ran, galenastair.Unknown}[r.world.pick(4)]
	r.record(client, callInput{key, outcome}, func() bool {
		c.Finish(outcome)
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
		if result := porcupine.CheckOperationsTimeout(keyModel, r.ops, 10*time.Second); result != porcupine.Ok {
			t.Fatalf("seed %d: %s after %d operations", seed, result, len(r.ops))
		}
	}
	t.Logf("%d runs, %d epochs, %d claims given", runs(), moves, given)
	is.True(given > runs()*10)
}
