package timer

import (
	"context"
	"time"
)

// Wait waits for d and returns true, or returns false as soon as the context ends.
func Wait(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// WaitFor waits until the channel is closed or has a value and returns true, or returns false after d or as soon as the
// context ends.
func WaitFor(ctx context.Context, c <-chan struct{}, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-c:
		return true
	case <-t.C:
	case <-ctx.Done():
	}
	return false
}
