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

// how often the fleet is looked at; changes are timed by it.
const (
	sightPeriod  = 50 * time.Millisecond
	sightTimeout = time.Second
)

// observer looks at every entry's status and every engine's memory.
type observer struct {
	fleet  *Fleet
	record *recorder
	client *http.Client

	mu       sync.Mutex
	lastLead string
}

func newObserver(f *Fleet, r *recorder) *observer {
	return &observer{fleet: f, record: r, client: &http.Client{Timeout: sightTimeout}}
}

// leader returns the member that was last seen to lead.
func (o *observer) leader() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.lastLead == "" {
		return o.fleet.Entries[0].Name
	}
	return o.lastLead
}

// follow looks until the context ends.
func (o *observer) follow(ctx context.Context) error {
	var g errgroup.Group
	for _, e := range o.fleet.Entries {
		g.Go(func() error { return every(ctx, sightPeriod, func() { o.look(ctx, e) }) })
	}
	for _, e := range o.fleet.Engines {
		g.Go(func() error { return every(ctx, 4*sightPeriod, func() { o.lookAtEngine(ctx, e) }) })
	}
	return g.Wait()
}

func every(ctx context.Context, period time.Duration, f func()) error {
	for ctx.Err() == nil {
		f()
		timer.Wait(ctx, period)
	}
	return nil
}

func (o *observer) get(ctx context.Context, url string, into any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := o.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return json.NewDecoder(resp.Body).Decode(into)
}

func (o *observer) look(ctx context.Context, e Entry) {
	// the status is of no earlier than this: what it does not show yet was not there
	at := time.Now()
	var s operator.Status
	if o.get(ctx, "http://"+e.Operator+"/status", &s) != nil {
		return
	}
	o.record.sight(Sight{
		Entry: e.Name, At: at, Ready: s.Ready, HoldsLease: s.HoldsLease,
		ConfigurationOffset: s.ConfigurationOffset, Epoch: s.Epoch, Leader: s.Leader,
	})
	if s.Leader != "" && s.HoldsLease {
		o.mu.Lock()
		o.lastLead = string(s.Leader)
		o.mu.Unlock()
	}
}

func (o *observer) lookAtEngine(ctx context.Context, e BackendServer) {
	at := time.Now()
	var r galenastair.EngineReport
	if o.get(ctx, "http://"+e.Listen+"/control/report", &r) != nil {
		return
	}
	o.record.load(Load{Engine: e.Name, At: at, Used: r.MemoryUsed, Total: r.MemoryTotal})
}
