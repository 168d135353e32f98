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

// storeCallsPeriod is how often an instance logs what it has asked the store, if anything.
const storeCallsPeriod = 10 * time.Second

// storeCalls counts the calls to the store since the last line.
type storeCalls struct {
	mu     sync.Mutex
	counts map[string]int
}

// observe takes in a call that has ended.
func (c *storeCalls) observe(call platform.StoreCall) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts == nil {
		c.counts = map[string]int{}
	}
	c.counts[fmt.Sprintf("%s/%s/%s", call.Call, call.Topic, storeOutcome(call.Err))]++
}

// take returns the counts in the order of their names, and begins anew.
func (c *storeCalls) take() []any {
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

// logStoreCalls logs the counts until the context ends.
func (n *Node) logStoreCalls(ctx context.Context) error {
	tick := time.NewTicker(storeCallsPeriod)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			if counts := n.storeCalls.take(); len(counts) > 0 {
				n.logger.Log(append([]any{"event", "store calls"}, counts...)...)
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
