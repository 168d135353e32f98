package request

import (
	"context"
	"sync"
	"time"

	"galenastair"
	"galenastair/config"
)

// Active knows the requests under way by key, so that a withdrawn key ends them.
type Active struct {
	mu   sync.Mutex
	byID map[*activeRequest]struct{}
}

type activeRequest struct {
	key    galenastair.KeyHash
	cancel context.CancelCauseFunc
}

// NewActive returns an empty set.
func NewActive() *Active {
	return &Active{byID: map[*activeRequest]struct{}{}}
}

// Begin adds a request; the returned function takes it out again.
func (a *Active) Begin(ctx context.Context, key galenastair.KeyHash) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	r := &activeRequest{key: key, cancel: cancel}
	a.mu.Lock()
	a.byID[r] = struct{}{}
	a.mu.Unlock()
	return ctx, func() {
		a.mu.Lock()
		delete(a.byID, r)
		a.mu.Unlock()
		cancel(nil)
	}
}

// Len counts the requests under way.
func (a *Active) Len() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.byID)
}

// EndWithdrawn cancels the requests whose key the configuration no longer knows
// as good. A stream can outlive its key by hours; without this an organisation
// would go on being served, and charged, on a key it has withdrawn.
func (a *Active) EndWithdrawn(c Configuration) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	ended := 0
	v := c.View()
	for r := range a.byID {
		if _, err := authorise(v, r.key); err != nil {
			r.cancel(err)
			ended++
		}
	}
	return ended
}

// firstViewPeriod is how often a starting instance looks for its first configuration.
const firstViewPeriod = 50 * time.Millisecond

// Follow ends requests of withdrawn keys at every change of configuration until
// the context ends.
func (a *Active) Follow(ctx context.Context, c Configuration) error {
	for {
		v := c.View()
		// the view is taken before the sweep, so that a change during it is not missed
		a.EndWithdrawn(c)
		if err := changed(ctx, v); err != nil {
			return err
		}
	}
}

// changed waits until a view is superseded or, before the first, for a moment.
func changed(ctx context.Context, v *config.View) error {
	if v == nil {
		first := time.NewTimer(firstViewPeriod)
		defer first.Stop()
		select {
		case <-first.C:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	select {
	case <-v.Superseded():
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
