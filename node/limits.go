package node

import (
	"context"
	"time"

	"github.com/go-kit/log"

	"galenastair/ratelimit"
)

// limiter admits requests to backend servers that have announced a rate limit. The leader decides;
// while it does not answer, this instance uses its own fraction of the limit.
type limits struct {
	askLeader func(context.Context, ratelimit.Limit, time.Duration) (ratelimit.Verdict, error)
	position  func() ratelimit.Place
	fallback  *ratelimit.Shares
	metrics   *metrics
	logger    log.Logger
}

func newLimiter(c *exchange, m *metrics) limits {
	return limits{askLeader: c.admit, position: c.position, fallback: c.limitFallback, metrics: m, logger: c.logger}
}

// Admit asks the leader whether and when a request may be sent. After one request without an
// answer, no other request waits for the leader until it has answered a report.
func (l limits) Admit(ctx context.Context, limit ratelimit.Limit, maxWait time.Duration) ratelimit.Verdict {
	if !l.fallback.Alone() {
		v, err := l.askLeader(ctx, limit, maxWait)
		if err == nil {
			l.metrics.countLimitDecision("Leader", v.Granted)
			return v
		}
		l.logger.Log("event", "limit share", "server", limit.Server, "limit", limit.PerSecond, "err", err)
	}
	now := time.Now()
	l.fallback.Lost(now)
	v := l.fallback.Admit(now, limit, l.position())
	l.metrics.countLimitDecision("Share", v.Granted)
	return v
}

func (c *exchange) admit(ctx context.Context, limit ratelimit.Limit, maxWait time.Duration) (ratelimit.Verdict, error) {
	leader, isSelf := c.leader()
	switch {
	case isSelf:
		return c.localPlanner.Admit(limit, maxWait)
	case leader == "":
		return ratelimit.Verdict{}, errNoLeader
	}
	return c.client.Admit(ctx, leader, limit, maxWait)
}

// position returns the position of this instance among all instances, as last reported by the leader.
func (c *exchange) position() ratelimit.Place {
	fleetSize := c.borrower.Told()
	return ratelimit.Place{Index: min(int(c.index.Load()), max(0, fleetSize-1)), Fleet: fleetSize}
}
