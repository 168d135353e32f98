package proof

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"galenastair/timer"
)

// balancer simulates the platform's load balancer. It picks among the entries that
// were ready at the last health check, and among all entries if none was.
type balancer struct {
	fleet  *Fleet
	client *http.Client

	mu    sync.Mutex
	ready []string
}

const healthCheckTimeout = 500 * time.Millisecond

func newBalancer(f *Fleet) *balancer {
	return &balancer{fleet: f, client: &http.Client{Timeout: healthCheckTimeout}}
}

// run checks the readiness of every entry each period until the context is done.
func (b *balancer) run(ctx context.Context) error {
	for ctx.Err() == nil {
		b.checkReadiness(ctx)
		timer.Wait(ctx, healthCheckPeriod)
	}
	return nil
}

func (b *balancer) checkReadiness(ctx context.Context) {
	var ready []string
	for _, e := range b.fleet.Entries {
		if b.isReady(ctx, e) {
			ready = append(ready, e.CallerAddress)
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ready = ready
}

// waitAllReady waits until every entry is ready or the context is done.
func (b *balancer) waitAllReady(ctx context.Context) error {
	for {
		b.checkReadiness(ctx)
		if b.readyCount() == len(b.fleet.Entries) {
			return nil
		}
		if ctx.Err() != nil {
			return eris.Wrapf(errStartFailed, "%d of %d entries are ready", b.readyCount(), len(b.fleet.Entries))
		}
		timer.Wait(ctx, healthCheckPeriod)
	}
}

func (b *balancer) isReady(ctx context.Context, e Entry) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.OperatorAddress+"/readyz", nil)
	if err != nil {
		return false
	}
	resp, err := b.client.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (b *balancer) pickEntry(rng *rand.Rand) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.ready) == 0 {
		return b.fleet.Entries[rng.IntN(len(b.fleet.Entries))].CallerAddress
	}
	return b.ready[rng.IntN(len(b.ready))]
}

func (b *balancer) readyCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.ready)
}

func (b *balancer) entryName(address string) string {
	for _, e := range b.fleet.Entries {
		if e.CallerAddress == address {
			return e.Name
		}
	}
	return address
}
