package node

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/matryer/is"

	"galenastair/standin/metastore"
	"galenastair/standin/replica"
)

// event is one moment in a bid's life: a replica begins to run an attempt, or a caller
// gets the end of one.
type event struct {
	bid     string
	attempt string
	kind    eventKind
}

type eventKind string

const (
	began  eventKind = "began"
	whole  eventKind = "whole"
	notRun eventKind = "not run"
	// unsaid promises nothing; its caller does not ask again.
	unsaid eventKind = "unsaid"
)

// bidState is which attempt ran, and which were said not to have.
type bidState struct {
	ran     string
	refused string
}

// bids lets each bid run at most once, whole answers come of runs alone, and what was
// said not to have run neither before nor after that.
var bids = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		parts := map[string][]porcupine.Operation{}
		for _, op := range history {
			bid := op.Input.(event).bid
			parts[bid] = append(parts[bid], op)
		}
		var out [][]porcupine.Operation
		for _, p := range parts {
			out = append(out, p)
		}
		return out
	},
	Init: func() any { return bidState{} },
	Step: func(state, input, _ any) (bool, any) {
		s, e := state.(bidState), input.(event)
		switch e.kind {
		case began:
			return s.ran == "" && !strings.Contains(s.refused, mark(e.attempt)), bidState{ran: e.attempt, refused: s.refused}
		case whole:
			return s.ran == e.attempt, s
		case notRun:
			return s.ran != e.attempt, bidState{ran: s.ran, refused: s.refused + mark(e.attempt)}
		}
		return true, s
	},
}

// mark sets attempts apart in a list of them.
func mark(attempt string) string { return "<" + attempt + ">" }

// history collects events from all callers.
type history struct {
	mu  sync.Mutex
	ops []porcupine.Operation
}

func (h *history) add(client int, at time.Time, e event) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, porcupine.Operation{ClientId: client, Input: e, Call: at.UnixNano(), Return: at.UnixNano()})
}

func (h *history) count(k eventKind) int {
	n := 0
	for _, op := range h.ops {
		if op.Input.(event).kind == k {
			n++
		}
	}
	return n
}

// kindOf reads an answer as a caller does.
func kindOf(a answer) eventKind {
	switch {
	case a.err == nil && a.status == http.StatusOK:
		return whole
	case a.err != nil:
		return unsaid
	}
	switch a.status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return notRun
	}
	return unsaid
}

// place makes one bid, and asks again only if it was said not to have run.
func (x *site) place(h *history, client, number int) {
	bid := fmt.Sprintf("/bid/%d-%d", client, number)
	for range 4 {
		id := newAttempt()
		a := x.attempt(id, x.nodes[rand.IntN(len(x.nodes))], bid, "", key)
		kind := kindOf(a)
		h.add(client, time.Now(), event{bid, id, kind})
		if kind != notRun {
			return
		}
	}
}

// disturb switches replicas and the store between faults until the context ends.
func (x *site) disturb(ctx context.Context) {
	for ctx.Err() == nil {
		for _, name := range []string{"p1", "p2"} {
			die, decline, fail := rand.IntN(4) == 0, rand.IntN(4) == 0, rand.IntN(6) == 0
			x.replicas[name].Switch(func(s *replica.Switches) { s.Die, s.Decline, s.Fail = die, decline, fail })
		}
		refuse := rand.IntN(4) == 0
		x.store.Switch(func(s *metastore.Switches) { s.Refuse = refuse })
		time.Sleep(40 * time.Millisecond)
	}
}

// Bidders at two instances place bids while replicas die under them, decline and fail,
// and the store turns everybody away now and then. A bid that ran twice commits its
// bidder twice; one that ran though its bidder was told that it had not is placed again.
func TestBidsRunAtMostOnceAndRefusalsAreTrue(t *testing.T) {
	is := is.New(t)
	x := newSite(t, 2)
	h := &history{}
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	var work sync.WaitGroup
	work.Go(func() { x.disturb(ctx) })
	for client := range 8 {
		work.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				x.place(h, client, n)
			}
		})
	}
	work.Wait()
	for _, name := range []string{"p1", "p2"} {
		for _, run := range x.replicas[name].Runs() {
			if strings.HasPrefix(run.Target, "/bid/") {
				h.add(-1, run.At, event{run.Target, run.ID, began})
			}
		}
	}
	t.Log("whole", h.count(whole), "not run", h.count(notRun), "unsaid", h.count(unsaid), "runs", h.count(began))
	is.True(h.count(whole) > 100)
	is.True(h.count(notRun) > 10)
	is.True(h.count(unsaid) > 10)
	is.Equal(porcupine.CheckOperationsTimeout(bids, h.ops, 30*time.Second), porcupine.Ok)
}

// A planted second run, and a run of what was said not to have run, must be seen.
func TestHistoryCheckSeesViolations(t *testing.T) {
	is := is.New(t)
	at := time.Unix(1000, 0)
	check := func(events ...event) porcupine.CheckResult {
		h := &history{}
		for i, e := range events {
			h.add(i, at.Add(time.Duration(i)), e)
		}
		return porcupine.CheckOperationsTimeout(bids, h.ops, time.Second)
	}
	is.Equal(check(event{"b", "1", began}, event{"b", "1", whole}), porcupine.Ok)
	is.Equal(check(event{"b", "1", began}, event{"b", "1", began}), porcupine.Illegal)
	is.Equal(check(event{"b", "1", began}, event{"b", "1", notRun}), porcupine.Illegal)
	is.Equal(check(event{"b", "1", notRun}, event{"b", "1", began}), porcupine.Illegal)
	is.Equal(check(event{"b", "1", notRun}, event{"b", "2", began}, event{"b", "2", whole}), porcupine.Ok)
	is.Equal(check(event{"b", "1", notRun}, event{"b", "2", notRun}, event{"b", "1", began}), porcupine.Illegal)
	is.Equal(check(event{"b", "1", whole}), porcupine.Illegal)
}
