package proof

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"galenastair"
	"galenastair/operator"
	"galenastair/timer"
)

// The status of each entry is sampled every samplePeriod, which limits how precisely the
// propagation of a change is timed.
const (
	samplePeriod  = 50 * time.Millisecond
	sampleTimeout = time.Second
)

// observer samples the status of every entry and the memory use of every engine.
type observer struct {
	fleet    *Fleet
	recorder *recorder
	client   *http.Client

	mu         sync.Mutex
	lastLeader string
}

func newObserver(f *Fleet, r *recorder) *observer {
	return &observer{fleet: f, recorder: r, client: &http.Client{Timeout: sampleTimeout}}
}

// leaderName returns the last known leader, or the first entry if none is known yet.
func (o *observer) leaderName() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.lastLeader == "" {
		return o.fleet.Entries[0].Name
	}
	return o.lastLeader
}

// run takes samples until the context is done.
func (o *observer) run(ctx context.Context) error {
	var g errgroup.Group
	for _, e := range o.fleet.Entries {
		g.Go(func() error { return runPeriodically(ctx, samplePeriod, func() { o.sampleStatus(ctx, e) }) })
	}
	for _, e := range o.fleet.Engines {
		g.Go(func() error { return runPeriodically(ctx, 4*samplePeriod, func() { o.sampleMemory(ctx, e) }) })
	}
	return g.Wait()
}

func runPeriodically(ctx context.Context, period time.Duration, f func()) error {
	for ctx.Err() == nil {
		f()
		timer.Wait(ctx, period)
	}
	return nil
}

func (o *observer) getJSON(ctx context.Context, url string, out any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := o.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return json.NewDecoder(resp.Body).Decode(out)
}

func (o *observer) sampleStatus(ctx context.Context, e Entry) {
	// Taken before the request: a change that the status lacks had not been applied at this time
	at := time.Now()
	var s operator.Status
	if o.getJSON(ctx, "http://"+e.OperatorAddress+"/status", &s) != nil {
		return
	}
	o.recorder.addStatusSample(StatusSample{
		Entry: e.Name, At: at, Ready: s.Ready, HoldsLease: s.HoldsLease,
		ConfigurationOffset: s.ConfigurationOffset, Epoch: s.Epoch, Leader: s.Leader,
	})
	if s.Leader != "" && s.HoldsLease {
		o.mu.Lock()
		o.lastLeader = string(s.Leader)
		o.mu.Unlock()
	}
}

func (o *observer) sampleMemory(ctx context.Context, e BackendServer) {
	at := time.Now()
	var r galenastair.EngineReport
	if o.getJSON(ctx, "http://"+e.ListenAddress+"/control/report", &r) != nil {
		return
	}
	o.recorder.addMemorySample(MemorySample{Engine: e.Name, At: at, Used: r.MemoryUsed, Total: r.MemoryTotal})
}
