package node

import (
	"context"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"

	"galenastair/ratelimit"
)

// The leader is frozen, and each request for a limited server waits for it anew.
func TestOneRequestWaitsForASilentLeader(t *testing.T) {
	is := is.New(t)
	asked := 0
	silent := func(context.Context, ratelimit.Limit, time.Duration) (ratelimit.Verdict, error) {
		asked++
		return ratelimit.Verdict{}, context.DeadlineExceeded
	}
	nowhere := func() ratelimit.Place { return ratelimit.Place{} }
	l := limits{ask: silent, place: nowhere, shares: ratelimit.NewShares(nil), metrics: newMetrics(), logger: log.NewNopLogger()}
	for range 10 {
		is.True(!l.Admit(t.Context(), ratelimit.Limit{Server: "s", PerSecond: 1}, 0).Granted)
	}
	is.Equal(asked, 1)
	l.shares.Answered()
	l.Admit(t.Context(), ratelimit.Limit{Server: "s", PerSecond: 1}, 0)
	is.Equal(asked, 2)
}
