package node

import (
	"context"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"

	"galenastair/ratelimit"
)

// While the leader does not answer, only one request to a rate-limited server may wait for it.
func TestOnlyOneRequestWaitsForSilentLeader(t *testing.T) {
	is := is.New(t)
	calls := 0
	silent := func(context.Context, ratelimit.Limit, time.Duration) (ratelimit.Decision, error) {
		calls++
		return ratelimit.Decision{}, context.DeadlineExceeded
	}
	noPosition := func() ratelimit.Position { return ratelimit.Position{} }
	l := limiter{askLeader: silent, position: noPosition, fallback: ratelimit.NewFallbackLimiter(nil), metrics: newMetrics(), logger: log.NewNopLogger()}
	for range 10 {
		is.True(!l.Admit(t.Context(), ratelimit.Limit{Server: "s", PerSecond: 1}, 0).Granted)
	}
	is.Equal(calls, 1)
	l.fallback.ReportAnswer()
	l.Admit(t.Context(), ratelimit.Limit{Server: "s", PerSecond: 1}, 0)
	is.Equal(calls, 2)
}
