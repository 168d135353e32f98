package node

import (
	"context"
	"sync"
	"time"
)

// startupWait holds requests for a limited time after the start of the instance, until what they
// need is known.
type startupWait struct {
	once  sync.Once
	known chan struct{}
	until time.Time
}

func newStartupWait(timeout time.Duration) *startupWait {
	return &startupWait{known: make(chan struct{}), until: time.Now().Add(timeout)}
}

// finish ends the wait of all requests.
func (w *startupWait) finish() { w.once.Do(func() { close(w.known) }) }

// wait returns when finish has been called, the time is over or the context is done.
func (w *startupWait) wait(ctx context.Context) {
	select {
	case <-w.known:
		return
	default:
	}
	remaining := time.Until(w.until)
	if remaining <= 0 {
		return
	}
	t := time.NewTimer(remaining)
	defer t.Stop()
	select {
	case <-w.known:
	case <-t.C:
	case <-ctx.Done():
	}
}
