package node

import (
	"context"
	"time"

	"github.com/go-kit/log"

	"galenastair/ratelimit"
)

// limiter admits requests to backend servers that have advertised a rate limit. The leader decides;
// while it does not answer, this instance uses its own fraction of the limit.
type limiter struct {
	askLeader func(context.Context, ratelimit.Limit, time.Duration) (ratelimit.Decision, error)
	position  func() ratelimit.Position
	fallback  *ratelimit.FallbackLimiter
	metrics   *metrics
	logger    log.Logger
}

func newLimiter(c *leaderClient, m *metrics) limiter {
	return limiter{askLeader: c.admit, position: c.position, fallback: c.limitFallback, metrics: m, logger: c.logger}
}

// Admit asks the leader whether and when a request may be sent. After one request without an
// answer, no other request waits for the leader until it has answered a report.
func (l limiter) Admit(ctx context.Context, limit ratelimit.Limit, maxWait time.Duration) ratelimit.Decision {
	if !l.fallback.Active() {
		decision, err := l.askLeader(ctx, limit, maxWait)
		if err == nil {
			l.metrics.countLimitDecision("Leader", decision.Granted)
			return decision
		}
		l.logger.Log("event", "limit share", "server", limit.Server, "limit", limit.PerSecond, "err", err)
	}
	now := time.Now()
	l.fallback.ReportUnreachable(now)
	decision := l.fallback.Admit(now, limit, l.position())
	l.metrics.countLimitDecision("Share", decision.Granted)
	return decision
}

func (c *leaderClient) admit(ctx context.Context, limit ratelimit.Limit, maxWait time.Duration) (ratelimit.Decision, error) {
	leader, isSelf := c.leader()
	switch {
	case isSelf:
		return c.localPlanner.Admit(limit, maxWait)
	case leader == "":
		return ratelimit.Decision{}, errNoLeader
	}
	return c.client.Admit(ctx, leader, limit, maxWait)
}

// position returns the position of this instance among all instances, as last reported by the leader.
func (c *leaderClient) position() ratelimit.Position {
	fleetSize := c.borrower.ReportedFleetSize()
	return ratelimit.Position{Index: min(int(c.index.Load()), max(0, fleetSize-1)), FleetSize: fleetSize}
}
