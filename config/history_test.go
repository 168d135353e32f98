package config

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/matryer/is"

	"galenastair"
	"galenastair/timer"
)

// operation is an operation of a client on the contract of R or on a key of K.
type operation struct {
	kind galenastair.RecordKind // empty for a read
	key  galenastair.KeyHash
	// base and newRevision identify revisions by the record that created them.
	base, newRevision galenastair.RecordID
}

// result is the result that a client received; only a read sets state.
type result struct {
	outcome Outcome // empty if unknown to the client
	winner  galenastair.RecordID
	state   string
}

// States of a key.
const (
	keyUnknown = "unknown"
	keyLive    = "live"
)

// registerModel is a register that is changed by compare-and-swap of revisions.
var registerModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{""} },
	Step: func(state, input, output any) []any {
		present, op, got := state.(string), input.(operation), output.(result)
		swaps := present == string(op.base)
		switch {
		case op.kind == "":
			return possibleState(present, got.state == present)
		case got.outcome == Accepted:
			return possibleState(string(op.newRevision), swaps)
		case got.outcome == Rejected:
			return possibleState(present, !swaps && string(got.winner) == present)
		case swaps:
			return []any{present, string(op.newRevision)}
		}
		return []any{present}
	},
}

// keyModel is a key whose state changes only from unknown to live to withdrawn.
var keyModel = porcupine.NondeterministicModel{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := make(map[galenastair.KeyHash][]porcupine.Operation)
		for _, op := range history {
			key := op.Input.(operation).key
			byKey[key] = append(byKey[key], op)
		}
		var parts [][]porcupine.Operation
		for _, part := range byKey {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() []any { return []any{keyUnknown} },
	Step: func(state, input, output any) []any {
		present, op, got := state.(string), input.(operation), output.(result)
		given := present
		if present == keyUnknown {
			given = keyLive
		}
		switch {
		case op.kind == "":
			return possibleState(present, got.state == present)
		case op.kind == KindKeyWithdrawn && got.outcome == Accepted:
			return []any{keyWithdrawn}
		case op.kind == KindKeyWithdrawn:
			return []any{present, keyWithdrawn}
		case got.outcome == Accepted:
			return possibleState(given, present != keyWithdrawn)
		case got.outcome == Rejected:
			return possibleState(present, present == keyWithdrawn)
		}
		return []any{present, given}
	},
}

func possibleState(state string, possible bool) []any {
	if possible {
		return []any{state}
	}
	return nil
}

// recorder collects the operation histories of all clients.
type recorder struct {
	mu              sync.Mutex
	start           time.Time
	register        []porcupine.Operation
	keys            []porcupine.Operation
	unknownOutcomes int
}

func (r *recorder) add(client int, call time.Duration, op operation, got result, settled bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	ended := int64(time.Since(r.start))
	if !settled {
		// the operation may take effect at any later time
		ended = math.MaxInt64
		r.unknownOutcomes++
	}
	entry := porcupine.Operation{ClientId: client, Input: op, Call: int64(call), Output: got, Return: ended}
	if op.key == "" {
		r.register = append(r.register, entry)
	} else {
		r.keys = append(r.keys, entry)
	}
}

// client is an operator that makes random changes.
type client struct {
	id        int
	random    *rand.Rand
	publisher *Publisher
	recorder  *recorder
}

// step reads the configuration and performs one random operation. It returns false if the
// log could not be read.
func (c *client) step(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, 300*time.Millisecond)
	defer cancel()
	key := testKey(c.random.IntN(3))
	call := time.Since(c.recorder.start)
	v, err := c.publisher.CatchUp(ctx)
	if err != nil {
		return false
	}
	switch c.random.IntN(6) {
	case 0:
		c.recorder.add(c.id, call, operation{}, result{state: string(v.LastChange("R").Record)}, true)
	case 1:
		c.recorder.add(c.id, call, operation{key: key}, result{state: keyState(v, key)}, true)
	case 2:
		c.change(ctx, operation{kind: KindKeyGiven, key: key}, KeyGiven{"K", key})
	case 3:
		if c.random.IntN(4) == 0 {
			c.change(ctx, operation{kind: KindKeyWithdrawn, key: key}, KeyWithdrawn{key})
		}
	default:
		latest := v.LastChange("R")
		next := testContract("R")
		next.Rate = galenastair.TokensPerSecond(1 + c.random.IntN(1000))
		c.change(ctx, operation{kind: KindContractPublished, base: latest.Record}, ContractPublished{latest.Offset, next})
	}
	return true
}

func (c *client) change(ctx context.Context, op operation, body any) {
	r, err := NewRecord(op.kind, fmt.Sprint("client ", c.id), body)
	if err != nil {
		panic(err)
	}
	op.newRevision = r.ID
	call := time.Since(c.recorder.start)
	v, err := c.publisher.Publish(ctx, r)
	switch {
	case errors.Is(err, ErrNotPublished):
	case err != nil:
		c.recorder.add(c.id, call, op, result{}, false)
	default:
		c.recorder.add(c.id, call, op, result{outcome: v.Outcome, winner: v.ExistingChange.Record}, true)
	}
}

func keyState(v *View, h galenastair.KeyHash) string {
	k, found := v.LookupKey(h)
	switch {
	case !found:
		return keyUnknown
	case k.Withdrawn:
		return keyWithdrawn
	}
	return keyLive
}

// injectFaults takes the log down, brings it back and releases delayed appends until the
// context is cancelled.
func injectFaults(ctx context.Context, l *fakeLog, random *rand.Rand) {
	for ctx.Err() == nil {
		timer.Wait(ctx, time.Duration(random.IntN(30))*time.Millisecond)
		l.setDown(random.IntN(4) == 0)
		l.releaseDelayed()
	}
	l.setDown(false)
	l.releaseDelayed()
}

// seeds returns GALENASTAIR_SEED, or the fixed seeds used in CI.
func seeds() []uint64 {
	if s, err := strconv.ParseUint(os.Getenv("GALENASTAIR_SEED"), 10, 64); err == nil {
		return []uint64{s}
	}
	return []uint64{1, 2, 3, 4}
}

// Operators publish concurrently while the log loses responses, delays appends and goes
// down. Guards against a change that is reported as rejected while it is in force, two
// changes with the same base that are both reported as accepted, and a withdrawn key that
// is accepted.
//
// Fails if checkBase accepts every base; if Publish reports an append with unknown outcome
// as not published, or retries an append after any error; if awaitResult returns
// ErrNotPublished at its deadline; if checkKey accepts withdrawn keys; or if
// ExistingChange is not set.
func TestHistoriesAreLinearizable(t *testing.T) {
	for _, seed := range seeds() {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			rec := runWithFaults(t, seed)
			t.Logf("seed %d: %d register operations, %d key operations, %d of unknown outcome", seed, len(rec.register), len(rec.keys), rec.unknownOutcomes)
			is.True(len(rec.register) > 20 && len(rec.keys) > 20)
			register, keys := registerModel.ToModel(), keyModel.ToModel()
			is.Equal(porcupine.CheckOperationsTimeout(register, rec.register, 20*time.Second), porcupine.Ok)
			is.Equal(porcupine.CheckOperationsTimeout(keys, rec.keys, 20*time.Second), porcupine.Ok)
		})
	}
}

// viewObserver follows the log under faults and records every view of its follower.
type viewObserver struct {
	follower *Follower
	views    []*View
	done     chan struct{}
}

func newViewObserver(ctx context.Context, t *testing.T, l *fakeLog) *viewObserver {
	w := &viewObserver{follower: NewFollower(l), done: make(chan struct{})}
	startFollower(t, w.follower)
	first := waitForView(t, w.follower, 1)
	go func() {
		defer close(w.done)
		for v := first; ; v = w.follower.View() {
			w.views = append(w.views, v)
			select {
			case <-v.Superseded():
			case <-ctx.Done():
				return
			}
		}
	}()
	return w
}

// check fails the test if a view went back to an earlier state, and returns the last snapshot.
func (w *viewObserver) check(t *testing.T, l *fakeLog) string {
	t.Helper()
	<-w.done
	last := waitForView(t, w.follower, l.next())
	w.views = append(w.views, last)
	for i, v := range w.views[1:] {
		old := w.views[i]
		if v.Offset() < old.Offset() {
			t.Errorf("view went back from %d to %d", old.Offset(), v.Offset())
		}
		for k := range 3 {
			if keyState(old, testKey(k)) == keyWithdrawn && keyState(v, testKey(k)) != keyWithdrawn {
				t.Errorf("key %d is back at offset %d", k, v.Offset())
			}
		}
	}
	return string(last.Snapshot())
}

// runWithFaults runs clients against a log with injected faults and returns their
// operation histories.
func runWithFaults(t *testing.T, seed uint64) *recorder {
	const clients, actions = 5, 30
	l := newFakeLog()
	l.add(testRecord("k", KindContractPublished, ContractPublished{Contract: testContract("K")}))
	faults := rand.New(rand.NewPCG(seed, 0))
	l.fault = func() appendFault {
		if n := faults.IntN(20); n <= int(neverApplied) {
			return appendFault(n)
		}
		return noFault
	}
	rec := &recorder{start: time.Now()}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		injectFaults(ctx, l, rand.New(rand.NewPCG(seed, 1)))
	}()
	observers := []*viewObserver{newViewObserver(ctx, t, l), newViewObserver(ctx, t, l)}
	var group sync.WaitGroup
	for id := range clients {
		c := &client{id: id, random: rand.New(rand.NewPCG(seed, uint64(2+id))), publisher: NewPublisher(l), recorder: rec}
		group.Go(func() {
			for done := 0; done < actions; {
				if c.step(ctx) {
					done++
				} else {
					timer.Wait(ctx, time.Millisecond)
				}
			}
		})
	}
	group.Wait()
	cancel()
	<-ended
	if observers[0].check(t, l) != observers[1].check(t, l) {
		t.Error("instances hold different configurations")
	}
	return rec
}
