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

// bidEvent is an event of a bid: a replica starts to run an attempt, or a caller gets the
// outcome of one.
type bidEvent struct {
	bid     string
	attempt string
	kind    bidEventKind
}

type bidEventKind string

const (
	started     bidEventKind = "started"
	completed   bidEventKind = "completed"
	notExecuted bidEventKind = "not executed"
	// unknownOutcome means that the attempt may have run; the caller does not retry.
	unknownOutcome bidEventKind = "unknown outcome"
)

// bidState is the attempt that ran, and the attempts reported as not executed.
type bidState struct {
	ran     string
	refused string
}

// bidModel accepts a history in which each bid runs at most once, only an attempt that ran has a
// complete response, and an attempt reported as not executed runs neither before nor after that.
var bidModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		parts := map[string][]porcupine.Operation{}
		for _, op := range history {
			bid := op.Input.(bidEvent).bid
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
		s, e := state.(bidState), input.(bidEvent)
		switch e.kind {
		case started:
			return s.ran == "" && !strings.Contains(s.refused, delimit(e.attempt)), bidState{ran: e.attempt, refused: s.refused}
		case completed:
			return s.ran == e.attempt, s
		case notExecuted:
			return s.ran != e.attempt, bidState{ran: s.ran, refused: s.refused + delimit(e.attempt)}
		}
		return true, s
	},
}

// delimit encloses an attempt ID, so that it can be found in a concatenation of IDs.
func delimit(attempt string) string { return "<" + attempt + ">" }

// history collects the events of all callers.
type history struct {
	mu  sync.Mutex
	ops []porcupine.Operation
}

func (h *history) add(client int, at time.Time, e bidEvent) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, porcupine.Operation{ClientId: client, Input: e, Call: at.UnixNano(), Return: at.UnixNano()})
}

func (h *history) count(k bidEventKind) int {
	n := 0
	for _, op := range h.ops {
		if op.Input.(bidEvent).kind == k {
			n++
		}
	}
	return n
}

// eventKindOf interprets a response as a caller does.
func eventKindOf(r response) bidEventKind {
	switch {
	case r.err == nil && r.status == http.StatusOK:
		return completed
	case r.err != nil:
		return unknownOutcome
	}
	switch r.status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return notExecuted
	}
	return unknownOutcome
}

// placeBid places one bid, and retries it only if it is reported as not executed.
func (c *cluster) placeBid(h *history, client, number int) {
	bid := fmt.Sprintf("/bid/%d-%d", client, number)
	for range 4 {
		id := newAttemptID()
		r := c.attempt(id, c.nodes[rand.IntN(len(c.nodes))], bid, "", key)
		kind := eventKindOf(r)
		h.add(client, time.Now(), bidEvent{bid, id, kind})
		if kind != notExecuted {
			return
		}
	}
}

// injectFaults switches random faults of the replicas and the store on and off until the context
// is done.
func (c *cluster) injectFaults(ctx context.Context) {
	for ctx.Err() == nil {
		for _, name := range []string{"p1", "p2"} {
			die, decline, fail := rand.IntN(4) == 0, rand.IntN(4) == 0, rand.IntN(6) == 0
			c.replicas[name].UpdateFaults(func(s *replica.Faults) { s.CloseConnection, s.Decline, s.Fail = die, decline, fail })
		}
		refuse := rand.IntN(4) == 0
		c.store.UpdateFaults(func(s *metastore.Faults) { s.Refuse = refuse })
		time.Sleep(40 * time.Millisecond)
	}
}

// Bids are placed at two instances while replicas crash, decline and fail, and the store sometimes
// refuses all calls. A bid that runs twice commits its bidder twice. So does a bid that runs
// although it is reported as not executed, because the bidder places it again.
func TestBidsRunAtMostOnce(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 2)
	h := &history{}
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	var work sync.WaitGroup
	work.Go(func() { c.injectFaults(ctx) })
	for client := range 8 {
		work.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				c.placeBid(h, client, n)
			}
		})
	}
	work.Wait()
	for _, name := range []string{"p1", "p2"} {
		for _, run := range c.replicas[name].Runs() {
			if strings.HasPrefix(run.RequestURI, "/bid/") {
				h.add(-1, run.StartedAt, bidEvent{run.RequestURI, run.ID, started})
			}
		}
	}
	t.Log("completed", h.count(completed), "not executed", h.count(notExecuted), "unknown outcome", h.count(unknownOutcome), "runs", h.count(started))
	is.True(h.count(completed) > 100)
	is.True(h.count(notExecuted) > 10)
	is.True(h.count(unknownOutcome) > 10)
	is.Equal(porcupine.CheckOperationsTimeout(bidModel, h.ops, 30*time.Second), porcupine.Ok)
}

// The model must reject a second run, and a run of an attempt reported as not executed.
func TestBidModelDetectsViolations(t *testing.T) {
	is := is.New(t)
	at := time.Unix(1000, 0)
	check := func(events ...bidEvent) porcupine.CheckResult {
		h := &history{}
		for i, e := range events {
			h.add(i, at.Add(time.Duration(i)), e)
		}
		return porcupine.CheckOperationsTimeout(bidModel, h.ops, time.Second)
	}
	is.Equal(check(bidEvent{"b", "1", started}, bidEvent{"b", "1", completed}), porcupine.Ok)
	is.Equal(check(bidEvent{"b", "1", started}, bidEvent{"b", "1", started}), porcupine.Illegal)
	is.Equal(check(bidEvent{"b", "1", started}, bidEvent{"b", "1", notExecuted}), porcupine.Illegal)
	is.Equal(check(bidEvent{"b", "1", notExecuted}, bidEvent{"b", "1", started}), porcupine.Illegal)
	is.Equal(check(bidEvent{"b", "1", notExecuted}, bidEvent{"b", "2", started}, bidEvent{"b", "2", completed}), porcupine.Ok)
	is.Equal(check(bidEvent{"b", "1", notExecuted}, bidEvent{"b", "2", notExecuted}, bidEvent{"b", "1", started}), porcupine.Illegal)
	is.Equal(check(bidEvent{"b", "1", completed}), porcupine.Illegal)
}
