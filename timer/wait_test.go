package timer

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A wait that a stop does not cut short would hold a whole instance up.
// Seen failing with the context not listened to (the test hangs to its limit),
// and with true returned for it.
func TestWait(t *testing.T) {
	is := is.New(t)
	is.True(Wait(t.Context(), time.Nanosecond))
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	is.True(!Wait(ctx, time.Hour))
}
