package place

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rotisserie/eris"

	"galenastair"
	"galenastair/control"
	"galenastair/ledger"
	"galenastair/route"
)

var errAnswerLost = eris.New("the answer was lost")

// testEnv runs a Leader against an in-memory log, engines and weight store.
type testEnv struct {
	galenastair.Engine
	t        *testing.T
	ctx      context.Context
	leader   *Leader
	fence    atomic.Int64
	logDown  atomic.Bool
	logHangs atomic.Bool
	// onRecord runs on the control loop after each record.
	onRecord func(galenastair.Record)

	mu          sync.Mutex
	log         []galenastair.Record
	catalogue   []galenastair.ModelWeights
	engines     map[string]*galenastair.EngineReport
	orders      []galenastair.Order
	loseAnswers bool
	// firstAnswerDelay delays the answer to the first order, in nanoseconds.
	firstAnswerDelay atomic.Int64
}

func newTestEnv(t *testing.T, engines int, models int, opts ...Option) *testEnv {
	e := &testEnv{t: t, engines: map[string]*galenastair.EngineReport{}}
	for i := range models {
		name := galenastair.ModelName(fmt.Sprint("m", i))
		e.catalogue = append(e.catalogue,
			galenastair.ModelWeights{Name: name, Memory: 10},
			galenastair.ModelWeights{Name: name + "-a", Base: name, Memory: 1})
	}
	var list []route.Server
	for i := range engines {
		address := fmt.Sprint("a", i)
		id := galenastair.BackendServerID(fmt.Sprint("e", i))
		e.engines[address] = &galenastair.EngineReport{BackendServer: id, MemoryTotal: 26}
		list = append(list, route.Server{ID: id, Address: address})
	}
	s := DefaultSettings()
	s.LoadsPerSecond, s.LoadsInFlight = 100, 100
	loop := control.NewLoop()
	e.leader = NewLeader("i0", "r", Dependencies{Engine: e, Log: e, Store: e, Leadership: e.leadership, Loop: loop},
		append([]Option{WithSettings(s)}, opts...)...)
	ctx, cancel := context.WithCancel(context.Background())
	e.ctx = ctx
	ended := make(chan error, 3)
	run := func(f func(context.Context) error) { go func() { ended <- f(ctx) }() }
	loopCtx, stopLoop := context.WithCancel(context.Background())
	go func() { ended <- loop.Run(loopCtx) }()
	run(e.leader.Run)
	run(e.relayReports)
	t.Cleanup(func() {
		cancel()
		<-ended
		<-ended
		stopLoop()
		<-ended
	})
	if err := e.leader.SetServers(ctx, list); err != nil {
		t.Fatal(err)
	}
	return e
}

func (e *testEnv) leadership(time.Time) (galenastair.Fence, bool) {
	f := e.fence.Load()
	return galenastair.Fence(f), f > 0
}

func (e *testEnv) relayReports(ctx context.Context) error {
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			for address := range e.engines {
				r, _ := e.Report(ctx, address)
				_ = e.leader.ApplyReport(ctx, r)
			}
		case <-ctx.Done():
			return nil
		}
	}
}

func (e *testEnv) Catalogue(context.Context) ([]galenastair.ModelWeights, error) {
	return e.catalogue, nil
}

func (e *testEnv) Append(ctx context.Context, _ galenastair.Stream, data []byte) (galenastair.Offset, error) {
	if e.logDown.Load() {
		return 0, galenastair.ErrAppendRefused
	}
	if e.logHangs.Load() {
		<-ctx.Done()
		return 0, ctx.Err()
	}
	var rec galenastair.Record
	_ = json.Unmarshal(data, &rec)
	e.mu.Lock()
	e.log = append(e.log, rec)
	n := len(e.log)
	e.mu.Unlock()
	by := ledger.Leader{ID: "i0", Fence: galenastair.Fence(e.fence.Load())}
	err := e.leader.loop.Post(ctx, func() {
		e.leader.applyRecord(e.leader.clock.Now(), rec, by)
		if e.onRecord != nil {
			e.onRecord(rec)
		}
	})
	return galenastair.Offset(n), err
}

func (e *testEnv) Read(context.Context, galenastair.Stream, galenastair.Offset, time.Duration) (galenastair.Batch, error) {
	return galenastair.Batch{}, nil
}

func (e *testEnv) Report(_ context.Context, address string) (galenastair.EngineReport, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := *e.engines[address]
	r.Loaded = slices.Clone(r.Loaded)
	return r, nil
}

func (e *testEnv) SendOrder(_ context.Context, address string, o galenastair.Order) error {
	if delay := time.Duration(e.firstAnswerDelay.Swap(0)); delay > 0 {
		defer time.Sleep(delay)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.engines[address]
	if r.ChecksFence && o.Fence > r.HighestFence {
		r.HighestFence = o.Fence
		if o.Weight.Name != "" {
			e.t.Errorf("order %s was sent before the engine showed its fence", o.ID)
		}
		return galenastair.ErrDeclined
	}
	if !r.ChecksFence && !e.recorded(o.ID) {
		e.t.Errorf("order %s was sent before it was recorded in the log", o.ID)
	}
	e.orders = append(e.orders, o)
	if o.Kind == galenastair.UnloadModel {
		r.Loaded = slices.DeleteFunc(r.Loaded, func(l galenastair.LoadedWeights) bool { return l.Weight == o.Weight })
	} else {
		r.Loaded = append(r.Loaded, galenastair.LoadedWeights{Weight: o.Weight, State: galenastair.LoadStateReady, Order: o.ID})
	}
	var used galenastair.Bytes
	for _, l := range r.Loaded {
		used += l.Weight.Memory
	}
	if used > r.MemoryTotal {
		e.t.Errorf("%s: memory overcommitted: %d of %d used", r.BackendServer, used, r.MemoryTotal)
	}
	if e.loseAnswers {
		return errAnswerLost
	}
	return nil
}

// checkFences makes all engines check fences.
func (e *testEnv) checkFences() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, r := range e.engines {
		r.ChecksFence = true
	}
}

func (e *testEnv) recorded(id galenastair.OrderID) bool {
	return slices.ContainsFunc(e.log, func(rec galenastair.Record) bool {
		var body ledger.Issued
		return rec.Kind == ledger.KindIssued && json.Unmarshal(rec.Body, &body) == nil && body.Order.ID == id
	})
}

func (e *testEnv) eventually(what string, ok func() bool) {
	e.t.Helper()
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		e.mu.Lock()
		done := ok()
		e.mu.Unlock()
		if done {
			return
		}
	}
	e.t.Fatalf("timed out waiting for: %s", what)
}

func (e *testEnv) allReady() bool {
	ready := map[galenastair.ModelName]bool{}
	for _, r := range e.engines {
		for _, l := range r.Loaded {
			ready[l.Weight.Name] = true
		}
	}
	return len(ready) == len(e.catalogue)
}

func (e *testEnv) pendingOrders() int {
	n := 0
	_ = e.leader.loop.Do(e.ctx, func() {
		for i := range e.engines {
			n += len(e.leader.ledger.PendingOrders(e.engines[i].BackendServer))
		}
	})
	return n
}

// From an empty fleet, the leader loads all models and adapters. Each order is recorded before
// it is sent, no memory is overcommitted, and no order stays pending at the end. The test fails
// if engines are asked for reports only before orders, since orders then stay pending, or if an
// order is sent without a record.
func TestLeaderLoadsEverything(t *testing.T) {
	e := newTestEnv(t, 3, 5)
	e.fence.Store(7)
	e.eventually("all models and adapters ready", e.allReady)
	for deadline := time.Now().Add(10 * time.Second); e.pendingOrders() > 0; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("orders stay pending")
		}
	}
}

// A leader that is paused right after reading back its order, and has been replaced when it
// resumes, must not send the order. The test fails without the leadership check in send.
func TestLeaderThatNoLongerLeadsSendsNothing(t *testing.T) {
	is := is.New(t)
	e := newTestEnv(t, 2, 2)
	var issued atomic.Int64
	e.onRecord = func(rec galenastair.Record) {
		if rec.Kind == ledger.KindIssued {
			issued.Add(1)
			e.fence.Store(0)
		}
	}
	e.fence.Store(7)
	e.eventually("an order recorded", func() bool { return issued.Load() > 0 })
	time.Sleep(2 * planInterval)
	e.mu.Lock()
	defer e.mu.Unlock()
	is.Equal(len(e.orders), 0)
}

// During a log outage no order can be read back, so none is sent; afterwards everything is
// loaded. The test fails if recordOrder ignores the error of append.
func TestLeaderOrdersNothingWhileTheLogIsDown(t *testing.T) {
	is := is.New(t)
	e := newTestEnv(t, 2, 2)
	e.logDown.Store(true)
	e.fence.Store(7)
	time.Sleep(3 * planInterval)
	e.mu.Lock()
	is.Equal(len(e.orders), 0)
	e.mu.Unlock()
	e.logDown.Store(false)
	e.eventually("all models and adapters ready", e.allReady)
}

// A model whose engines failed during a log outage had no copy until the log was back, for up to
// 28 s. Engines that check fences need no record of an order, so the leader raises its fence there
// and keeps loading.
func TestOutageStopsNoLoadsOnEnginesThatCheckFences(t *testing.T) {
	is := is.New(t)
	e := newTestEnv(t, 3, 5)
	e.checkFences()
	e.logDown.Store(true)
	e.fence.Store(7)
	e.eventually("all models and adapters ready", e.allReady)
	for deadline := time.Now().Add(10 * time.Second); e.pendingOrders() > 0; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("orders stay pending")
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	is.Equal(len(e.log), 0)
}

// During a log outage the engine with the most free memory ignores fences, so it cannot be given
// orders. The planner kept choosing it and the model had no copy until the log was back, although
// an engine that checks fences had room.
func TestOutageLoadsWhereOrdersCanGo(t *testing.T) {
	e := newTestEnv(t, 2, 1, WithLogReachable(func(time.Time) bool { return false }))
	e.mu.Lock()
	e.engines["a0"].MemoryTotal = 50
	e.engines["a1"].ChecksFence = true
	e.mu.Unlock()
	e.logDown.Store(true)
	e.fence.Store(7)
	e.eventually("the model and its adapter ready", e.allReady)
}

// If the answer to an order is lost, the order may still arrive, so it stays pending for the order
// lifetime; a model that is loaded is not ordered again. The test fails if the default case of
// send ends the order.
func TestLostAnswersKeepOrdersPending(t *testing.T) {
	is := is.New(t)
	e := newTestEnv(t, 1, 1, WithOrderLifetime(3*time.Second))
	e.loseAnswers = true
	e.fence.Store(7)
	e.eventually("all models and adapters ready", e.allReady)
	is.Equal(e.pendingOrders(), 2)
	for deadline := time.Now().Add(10 * time.Second); e.pendingOrders() > 0; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("orders stay pending past the order lifetime")
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	is.Equal(len(e.orders), 2)
}

// The log refuses appends, but it counts as unreachable only seconds later. Each round chose an
// engine that ignores fences again, and the model had no copy although an engine that checks fences
// had room.
func TestRefusedRecordSendsLoadsElsewhere(t *testing.T) {
	e := newTestEnv(t, 2, 1)
	e.mu.Lock()
	e.engines["a0"].MemoryTotal = 50
	e.engines["a1"].ChecksFence = true
	e.mu.Unlock()
	e.logDown.Store(true)
	e.fence.Store(7)
	e.eventually("the model and its adapter ready", e.allReady)
}

// An append hangs for the first of two loads on an engine that ignores fences. The second load,
// queued behind it, counted as loading until its own append had timed out.
func TestHungRecordDoesNotHoldQueuedLoads(t *testing.T) {
	e := newTestEnv(t, 2, 2)
	e.mu.Lock()
	e.engines["a0"].MemoryTotal = 50
	e.engines["a1"].ChecksFence = true
	e.mu.Unlock()
	e.logHangs.Store(true)
	e.fence.Store(7)
	e.eventually("both models and their adapters ready", e.allReady)
}

// An engine that checks fences restarts empty and without the leader's fence. The next load was
// followed by retryDelay as after any failure, and the model had no copy meanwhile.
func TestRestartedEngineIsLoadedOnceItShowsTheFence(t *testing.T) {
	is := is.New(t)
	e := newTestEnv(t, 1, 1)
	e.checkFences()
	e.fence.Store(7)
	e.eventually("the model and its adapter ready", e.allReady)
	e.mu.Lock()
	e.engines["a0"].Loaded, e.engines["a0"].HighestFence = nil, 0
	e.mu.Unlock()
	start := time.Now()
	e.eventually("the model and its adapter ready again", e.allReady)
	is.True(time.Since(start) < retryDelay)
}

// The first of two loads on an engine is answered only after more than retryDelay. The second one
// then waited for another retryDelay.
func TestStepBehindOneWithoutAnswerStartsAtOnce(t *testing.T) {
	is := is.New(t)
	e := newTestEnv(t, 1, 2)
	e.loseAnswers = true
	e.firstAnswerDelay.Store(int64(retryDelay + time.Second))
	e.fence.Store(7)
	e.eventually("the first order is sent", func() bool { return len(e.orders) > 0 })
	start := time.Now()
	e.eventually("the second order is sent", func() bool { return len(e.orders) > 1 })
	is.True(time.Since(start) < 2*retryDelay)
}
