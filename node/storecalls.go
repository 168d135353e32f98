package node

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"galenastair"
	"galenastair/platform"
)

// storeCallLogInterval is the interval at which the calls to the store are logged, if there were any.
const storeCallLogInterval = 10 * time.Second

// storeCalls counts the calls to the store since they were last logged.
type storeCalls struct {
	mu     sync.Mutex
	counts map[string]int
}

// observe counts a finished call.
func (c *storeCalls) observe(call platform.StoreCall) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts == nil {
		c.counts = map[string]int{}
	}
	c.counts[fmt.Sprintf("%s/%s/%s", call.Call, call.Topic, storeOutcome(call.Err))]++
}

// drain returns the counts as log keys and values, sorted by name, and resets them.
func (c *storeCalls) drain() []any {
	c.mu.Lock()
	defer c.mu.Unlock()
	names := make([]string, 0, len(c.counts))
	for name := range c.counts {
		names = append(names, name)
	}
	slices.Sort(names)
	var out []any
	for _, name := range names {
		out = append(out, name, c.counts[name])
	}
	c.counts = nil
	return out
}

func storeOutcome(err error) string {
	switch {
	case err == nil:
		return "Answered"
	case errors.Is(err, galenastair.ErrStoreRefused):
		return "Refused"
	case errors.Is(err, galenastair.ErrConflict):
		return "Conflict"
	case errors.Is(err, galenastair.ErrExpired):
		return "Expired"
	}
	return "Unanswered"
}

// logStoreCalls logs the counts of calls to the store until the context is done.
func (n *Node) logStoreCalls(ctx context.Context) error {
	tick := time.NewTicker(storeCallLogInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			if counts := n.storeCalls.drain(); len(counts) > 0 {
				n.logger.Log(append([]any{"event", "store calls"}, counts...)...)
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
