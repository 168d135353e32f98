package timer

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A wait that ignores the end of its context would block the shutdown of an instance. Fails if
// Wait ignores the context (the test then times out) or returns true when the context ends.
func TestWait(t *testing.T) {
	is := is.New(t)
	is.True(Wait(t.Context(), time.Nanosecond))
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	is.True(!Wait(ctx, time.Hour))
}
