package dispatch

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"galenastair"
	"galenastair/route"
)

var start = time.Unix(1000, 0)

func newTestScheduler(servers int, models ...galenastair.ModelName) *Scheduler {
	sched := NewScheduler(rand.New(rand.NewPCG(1, 2)))
	sched.SetServers(start, serverList(servers))
	for i := range servers {
		sched.ApplyReport(start, report(i, models...))
	}
	return sched
}

func serverList(n int) []Server {
	var out []Server
	for i := range n {
		out = append(out, Server{ID: galenastair.BackendServerID(fmt.Sprint(i)), Address: fmt.Sprint("10.0.0.", i)})
	}
	return out
}

func report(i int, models ...galenastair.ModelName) galenastair.EngineReport {
	r := galenastair.EngineReport{BackendServer: galenastair.BackendServerID(fmt.Sprint(i))}
	for _, m := range models {
		r.Loaded = append(r.Loaded, galenastair.LoadedWeights{Weight: galenastair.ModelWeights{Name: m}, State: galenastair.LoadStateReady})
	}
	return r
}

func request(o string, m galenastair.ModelName) Request {
	return Request{Organisation: galenastair.Organisation(o), Weight: 100, Model: m, PromptTokens: 50, OutputTokens: 50}
}

// Two organisations request different models on the same accelerator, one of them five times
// as often. Each queue is fair by itself, but without shares per backend server (see
// shareTracker) slots go to the queue that is looked at first, and the other organisation
// waits behind the flood. Fails if shareTracker.charge does nothing.
func TestOrganisationsShareBackendServerAcrossModels(t *testing.T) {
	is := is.New(t)
	sched := newTestScheduler(1, "a", "b")
	var running []*Ticket
	served := map[galenastair.ModelName]int{}
	collect := func() {
		for _, d := range sched.Poll() {
			is.Equal(d.Err, nil)
			running = append(running, d.Ticket)
			served[d.Ticket.Request.Model]++
		}
	}
	for range 100 {
		sched.Submit(start, request("flood", "a"))
	}
	for range 20 {
		sched.Submit(start, request("calm", "b"))
	}
	for range 40 {
		collect()
		sched.Done(start, running[0], Result{OutputTokens: 50})
		running = running[1:]
	}
	is.Equal(served["b"], 20)
}

// A retry excludes the backend server that failed and waits for another copy. It must not
// block the requests behind it. Fails if dispatchModel lacks the case len(q.Exclude) > 0.
func TestRetryDoesNotBlockQueue(t *testing.T) {
	is := is.New(t)
	sched := newTestScheduler(2, "m")
	var tickets []*Ticket
	for {
		sched.Submit(start, request("a", "m"))
		ds := sched.Poll()
		if len(ds) == 0 {
			break // Both windows are full and one request waits.
		}
		tickets = append(tickets, ds[0].Ticket)
	}
	again := request("a", "m")
	again.Exclude = []galenastair.BackendServerID{"0"}
	again.Weight = 100_000 // Its start tag is the lowest.
	again.Organisation = "b"
	sched.Submit(start, again)
	for _, tk := range tickets {
		if tk.server == "0" {
			sched.Done(start, tk, Result{})
			break
		}
	}
	ds := sched.Poll()
	is.Equal(len(ds), 1)
	is.Equal(ds[0].Choice.Reason, route.SlotFreed)
	is.Equal(ds[0].Choice.Server, galenastair.BackendServerID("0"))
	for _, tk := range tickets {
		if tk.server == "0" && tk.state == running {
			sched.Done(start, tk, Result{})
			break
		}
	}
	is.Equal(len(sched.Poll()), 0) // Only the retry waits.
	sched.Submit(start, request("a", "m"))
	is.Equal(len(sched.Poll()), 1) // The next request passes it.
	again.Exclude = []galenastair.BackendServerID{"0", "1"}
	sched.Submit(start, again)
	ds = sched.Poll()
	is.True(errors.Is(ds[0].Err, galenastair.ErrNoBackendServer))
}

// The only copy of a model moves and is missing from the reports for a moment. Requests wait
// for it; if no copy appears, they are refused with the outcome NotRun.
func TestWaitsForUnreportedCopy(t *testing.T) {
	is := is.New(t)
	sched := newTestScheduler(1)
	sched.Submit(start, request("a", "m"))
	is.Equal(len(sched.Poll()), 0)
	sched.ApplyReport(start.Add(time.Second), report(0, "m"))
	ds := sched.Poll()
	is.Equal(len(ds), 1)
	is.Equal(ds[0].Err, nil)
	sched.Submit(start, request("a", "n"))
	sched.Expire(start.Add(noCopyTimeout), "n")
	ds = sched.Poll()
	is.True(errors.Is(ds[0].Err, galenastair.ErrNoBackendServer))
	is.Equal(ds[0].Err.Outcome, galenastair.OutcomeNotRun)
	is.Equal(sched.QueueLength(), 0)
}

// A flood must not exhaust the memory of an instance: the number of waiting requests is
// bounded over all models together.
func TestWaitingIsBounded(t *testing.T) {
	is := is.New(t)
	models := []galenastair.ModelName{"a", "b", "c", "d", "e", "f"}
	sched := newTestScheduler(1, models...)
	for i := range 4000 {
		sched.Submit(start, request("flood", models[i%len(models)]))
		is.True(sched.QueueLength() <= maxQueuedRequests)
	}
}

// When every backend server fails, retries must stay a share of the traffic. Fails if Spend
// always returns true.
func TestRetriesStayWithinRatio(t *testing.T) {
	is := is.New(t)
	b := NewRetryBudget()
	retries := 0
	for range 1000 {
		b.Earn()
		for b.Spend() {
			retries++
		}
	}
	is.True(retries <= retryReserve+1000*retryRatio)
	is.True(retries >= 1000*retryRatio)
}

// endingContext is a context that ends right after the first look at its error.
type endingContext struct {
	context.Context
	asked bool
}

func (c *endingContext) Err() error {
	if !c.asked {
		c.asked = true
		return nil
	}
	return c.Context.Err()
}

// Guards against a grant to a caller that has left by the time of the decision.
func TestCallerThatLeavesWithItsGrantGetsNone(t *testing.T) {
	is := is.New(t)
	d := New()
	d.SetServers(serverList(1))
	d.ApplyReport(report(0, "m"))
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for range 200 {
		_, err := d.Acquire(&endingContext{Context: ctx}, request("a", "m"))
		is.True(errors.Is(err, context.Canceled))
	}
}

// A caller goes away while its request waits, or at the same time as its grant. The slot must
// be freed, or the backend server's window is smaller permanently. Fails without Cancel,
// without the release in abandon, and if Done counts twice.
func TestCancelledRequestFreesSlot(t *testing.T) {
	is := is.New(t)
	d := New()
	d.SetServers(serverList(1))
	d.ApplyReport(report(0, "m"))
	var grants []*Grant
	for range 4 {
		g, err := d.Acquire(context.Background(), request("a", "m"))
		is.NoErr(err)
		grants = append(grants, g)
	}
	ctx, cancel := context.WithCancel(context.Background())
	gone := make(chan error, 10)
	for range cap(gone) {
		go func() {
			_, err := d.Acquire(ctx, request("a", "m"))
			gone <- err
		}()
	}
	for d.QueueLength() < cap(gone) {
		time.Sleep(time.Millisecond)
	}
	cancel()
	for i := range cap(gone) {
		if i < len(grants) {
			grants[i].Release(Result{})
		}
		is.True(errors.Is(<-gone, context.Canceled))
	}
	is.Equal(d.QueueLength(), 0)
	for i := range 4 {
		g, err := d.Acquire(context.Background(), request("a", "m"))
		is.NoErr(err)
		if i == 1 {
			g.Release(Result{})
			g.Release(Result{}) // frees no second slot
			_, err = d.Acquire(context.Background(), request("a", "m"))
			is.NoErr(err)
		}
	}
	late := request("a", "m")
	late.Deadline = time.Now().Add(20 * time.Millisecond)
	_, err := d.Acquire(context.Background(), late)
	is.True(errors.Is(err, galenastair.ErrOverloaded))
}

// One organisation floods many models and has few requests waiting in each queue. By the
// levels of the queues alone, its requests would reach the engines with the same priority as
// those of the others, which would wait behind them there. Fails if priority returns the
// level of the queue and, for the grant beyond the window, without dispatchWithinShare.
func TestFloodOverManyModelsHasLowerPriority(t *testing.T) {
	is := is.New(t)
	var models []galenastair.ModelName
	for i := range 20 {
		models = append(models, galenastair.ModelName(fmt.Sprint("m", i)))
	}
	sched := newTestScheduler(2, models...)
	sched.ApplyReport(start, report(1, "x"))
	send := func(o string, m galenastair.ModelName) []Decision {
		r := request(o, m)
		r.Weight = 10_000
		sched.Submit(start, r)
		return sched.Poll()
	}
	var flood []*Ticket
	for i := range 60 {
		for _, m := range []galenastair.ModelName{models[i%20], "x"} {
			for _, d := range send("flood", m) {
				flood = append(flood, d.Ticket)
			}
		}
	}
	ds := send("calm", "x")
	is.Equal(len(ds), 1) // sent beyond the window
	is.Equal(ds[0].Choice.Priority, 0)
	for len(ds) > 0 {
		ds = send("calm", "x") // until the slots beyond the window are taken as well
	}
	is.Equal(flood[0].server, galenastair.BackendServerID("0"))
	sched.Done(start, flood[0], Result{OutputTokens: 50})
	ds = sched.Poll()
	is.Equal(len(ds), 1)
	is.Equal(ds[0].Ticket.Request.Organisation, galenastair.Organisation("flood"))
	is.True(ds[0].Choice.Priority > 0)
}
