package place

import (
	"context"
	"encoding/json"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"galenastair"
	"galenastair/control"
	"galenastair/ledger"
	"galenastair/route"
)

// fakeEngines accept all orders and report what these have loaded.
type fakeEngines struct {
	mu     sync.Mutex
	loaded map[string][]galenastair.LoadedWeights
	orders []galenastair.Order
	galenastair.Engine
}

func (e *fakeEngines) Report(_ context.Context, server string) (galenastair.EngineReport, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return galenastair.EngineReport{
		BackendServer: galenastair.BackendServerID(server), MemoryTotal: 100, Loaded: e.loaded[server],
	}, nil
}

func (e *fakeEngines) SendOrder(_ context.Context, server string, o galenastair.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders = append(e.orders, o)
	e.loaded[server] = append(e.loaded[server], galenastair.LoadedWeights{Weight: o.Weight, State: galenastair.LoadStateReady, Order: o.ID})
	return nil
}

func (e *fakeEngines) ordered() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.orders)
}

// loopbackLog applies each appended record to the leader.
type loopbackLog struct {
	leader       *Leader
	loop         *control.Loop
	recordLeader ledger.Leader
	galenastair.Log
}

func (f *loopbackLog) Append(ctx context.Context, _ galenastair.Stream, data []byte) (galenastair.Offset, error) {
	var rec galenastair.Record
	if err := json.Unmarshal(data, &rec); err != nil {
		return 0, err
	}
	return 1, f.loop.Post(ctx, func() { f.leader.applyRecord(time.Now(), rec, f.recordLeader) })
}

type fakeStore struct{ weights []galenastair.ModelWeights }

func (s fakeStore) Catalogue(context.Context) ([]galenastair.ModelWeights, error) {
	return s.weights, nil
}

func settledOrder(t *testing.T, w galenastair.ModelWeights, by galenastair.Fence, author string) []galenastair.Record {
	is := is.New(t)
	o := galenastair.Order{ID: "old", Fence: by, BackendServer: "e1", Kind: galenastair.LoadModel, Weight: w}
	issued, err := json.Marshal(ledger.Issued{Order: o})
	is.NoErr(err)
	settled, err := json.Marshal(ledger.Settled{Order: "old", Fence: by, Settlement: ledger.Answered})
	is.NoErr(err)
	return []galenastair.Record{
		{ID: "1", Kind: ledger.KindIssued, Author: author, Body: issued},
		{ID: "2", Kind: ledger.KindSettled, Author: author, Body: settled},
	}
}

// A leader that has loaded a model on an engine fails, and the engine restarts empty. The successor
// counted the settled order as still loading, so the model had no copy for 10 s, or 20 s if a log
// outage followed. The test fails without pollPendingOrders.
func TestSuccessorLoadsAtOnceWhatAnEngineLost(t *testing.T) {
	is := is.New(t)
	weight := galenastair.ModelWeights{Name: "m", Memory: 10}
	engines := &fakeEngines{loaded: map[string][]galenastair.LoadedWeights{}}
	log := &loopbackLog{recordLeader: ledger.Leader{ID: "entry-2", Fence: 9}, loop: control.NewLoop()}
	l := NewLeader("entry-2", "r", Dependencies{
		Engine: engines, Log: log, Store: fakeStore{[]galenastair.ModelWeights{weight}}, Loop: log.loop,
		Leadership: func(time.Time) (galenastair.Fence, bool) { return 9, true },
	})
	log.leader = l
	for _, rec := range settledOrder(t, weight, 5, "entry-1") {
		l.applyRecord(time.Now(), rec, ledger.Leader{ID: "entry-1", Fence: 5})
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 2)
	go func() { ended <- log.loop.Run(ctx) }()
	is.NoErr(l.SetServers(ctx, []route.Server{{ID: "e1", Address: "e1"}}))
	is.NoErr(l.ApplyReport(ctx, galenastair.EngineReport{BackendServer: "e1", MemoryTotal: 100}))
	go func() { ended <- l.Run(ctx) }()
	for start := time.Now(); engines.ordered() == 0; time.Sleep(10 * time.Millisecond) {
		is.True(time.Since(start) < loadTimeout/2) // the lost model is ordered again
	}
	cancel()
	<-ended
	<-ended
}

// A leader fails before it has recorded the end of a load, and later the engine fails. Each successor
// counted the order as loading for 10 s from its own start, and the model had no copy meanwhile.
func TestSuccessorWaitsNoLongerForAnOldOrder(t *testing.T) {
	is := is.New(t)
	weight := galenastair.ModelWeights{Name: "m", Memory: 10}
	engines := &fakeEngines{loaded: map[string][]galenastair.LoadedWeights{}}
	log := &loopbackLog{recordLeader: ledger.Leader{ID: "entry-2", Fence: 9}, loop: control.NewLoop()}
	l := NewLeader("entry-2", "r", Dependencies{
		Engine: engines, Log: log, Store: fakeStore{[]galenastair.ModelWeights{weight}}, Loop: log.loop,
		Leadership: func(time.Time) (galenastair.Fence, bool) { return 9, true },
	})
	log.leader = l
	issued := settledOrder(t, weight, 5, "entry-1")[0]
	l.applyRecord(time.Now().Add(-loadTimeout), issued, ledger.Leader{ID: "entry-1", Fence: 5})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 2)
	go func() { ended <- log.loop.Run(ctx) }()
	is.NoErr(l.SetServers(ctx, []route.Server{{ID: "e1", Address: "e1"}}))
	is.NoErr(l.ApplyReport(ctx, galenastair.EngineReport{BackendServer: "e1", MemoryTotal: 100}))
	go func() { ended <- l.Run(ctx) }()
	for start := time.Now(); engines.ordered() == 0; time.Sleep(10 * time.Millisecond) {
		is.True(time.Since(start) < loadTimeout/2)
	}
	cancel()
	<-ended
	<-ended
}
