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

// balancer stands in for the platform's: it sends callers to entries that were
// ready when it last looked, and anywhere if none was.
type balancer struct {
	fleet  *Fleet
	client *http.Client

	mu    sync.Mutex
	ready []string
}

const readyTimeout = 500 * time.Millisecond

func newBalancer(f *Fleet) *balancer {
	return &balancer{fleet: f, client: &http.Client{Timeout: readyTimeout}}
}

// follow looks at every entry each period until the context ends.
func (b *balancer) follow(ctx context.Context) error {
	for ctx.Err() == nil {
		b.look(ctx)
		timer.Wait(ctx, balancerPeriod)
	}
	return nil
}

func (b *balancer) look(ctx context.Context) {
	var ready []string
	for _, e := range b.fleet.Entries {
		if b.isReady(ctx, e) {
			ready = append(ready, e.Caller)
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ready = ready
}

// awaitAll waits until every entry is ready.
func (b *balancer) awaitAll(ctx context.Context) error {
	for {
		b.look(ctx)
		if b.count() == len(b.fleet.Entries) {
			return nil
		}
		if ctx.Err() != nil {
			return eris.Wrapf(errStart, "%d of %d entries are ready", b.count(), len(b.fleet.Entries))
		}
		timer.Wait(ctx, balancerPeriod)
	}
}

func (b *balancer) isReady(ctx context.Context, e Entry) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.Operator+"/readyz", nil)
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

func (b *balancer) choose(rng *rand.Rand) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.ready) == 0 {
		return b.fleet.Entries[rng.IntN(len(b.fleet.Entries))].Caller
	}
	return b.ready[rng.IntN(len(b.ready))]
}

func (b *balancer) count() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.ready)
}

func (b *balancer) name(address string) string {
	for _, e := range b.fleet.Entries {
		if e.Caller == address {
			return e.Name
		}
	}
	return address
}
