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
