package request

import (
	"context"
	"sync"
	"time"

	"galenastair"
	"galenastair/config"
)

// ActiveRequests tracks the requests in flight and their keys, so that they can be
// cancelled when their key is withdrawn.
type ActiveRequests struct {
	mu       sync.Mutex
	requests map[*activeRequest]struct{}
}

type activeRequest struct {
	key    galenastair.KeyHash
	cancel context.CancelCauseFunc
}

// NewActiveRequests returns an empty set.
func NewActiveRequests() *ActiveRequests {
	return &ActiveRequests{requests: map[*activeRequest]struct{}{}}
}

// Add adds a request and returns a context that is cancelled when the request's key
// is withdrawn. The returned function removes the request.
func (a *ActiveRequests) Add(ctx context.Context, key galenastair.KeyHash) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	r := &activeRequest{key: key, cancel: cancel}
	a.mu.Lock()
	a.requests[r] = struct{}{}
	a.mu.Unlock()
	return ctx, func() {
		a.mu.Lock()
		delete(a.requests, r)
		a.mu.Unlock()
		cancel(nil)
	}
}

// Len returns the number of requests in flight.
func (a *ActiveRequests) Len() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.requests)
}

// CancelWithdrawn cancels the requests whose key is no longer valid in the
// configuration and returns their number. Without it, a stream could run for hours
// after its key was withdrawn, and the organisation would be charged for it.
func (a *ActiveRequests) CancelWithdrawn(c ConfigurationSource) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	cancelled := 0
	v := c.View()
	for r := range a.requests {
		if _, err := lookUpKey(v, r.key); err != nil {
			r.cancel(err)
			cancelled++
		}
	}
	return cancelled
}

// initialPollPeriod is how often a starting instance checks for its first configuration.
const initialPollPeriod = 50 * time.Millisecond

// Watch calls CancelWithdrawn after every change of the configuration until the
// context is done.
func (a *ActiveRequests) Watch(ctx context.Context, c ConfigurationSource) error {
	for {
		v := c.View()
		// The view is taken before the cancellation, so that a change during it is not missed.
		a.CancelWithdrawn(c)
		if err := waitForChange(ctx, v); err != nil {
			return err
		}
	}
}

// waitForChange waits until a view is superseded, or for initialPollPeriod if there
// is no view yet.
func waitForChange(ctx context.Context, v *config.View) error {
	if v == nil {
		poll := time.NewTimer(initialPollPeriod)
		defer poll.Stop()
		select {
		case <-poll.C:
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
