package node

import (
	"context"
	"time"

	"github.com/go-kit/log"

	"galenastair/ratelimit"
)

// limits admit requests to backend servers that have named a limit: by the leader, and by this
// instance's own share while that does not answer.
type limits struct {
	// ask asks the leader, and place is this instance's in the fleet.
	ask     func(context.Context, ratelimit.Limit, time.Duration) (ratelimit.Verdict, error)
	place   func() ratelimit.Place
	shares  *ratelimit.Shares
	metrics *metrics
	logger  log.Logger
}

func newLimits(x *exchange, m *metrics) limits {
	return limits{ask: x.admit, place: x.place, shares: x.shares, metrics: m, logger: x.logger}
}

// Admit asks the leader for a turn. Once that has not answered, no request waits for it again
// until it has answered an exchange.
func (l limits) Admit(ctx context.Context, limit ratelimit.Limit, patience time.Duration) ratelimit.Verdict {
	if !l.shares.Alone() {
		v, err := l.ask(ctx, limit, patience)
		if err == nil {
			l.metrics.turn("Leader", v.Granted)
			return v
		}
		l.logger.Log("event", "limit share", "server", limit.Server, "limit", limit.PerSecond, "err", err)
	}
	now := time.Now()
	l.shares.Lost(now)
	v := l.shares.Admit(now, limit, l.place())
	l.metrics.turn("Share", v.Granted)
	return v
}

func (x *exchange) admit(ctx context.Context, limit ratelimit.Limit, patience time.Duration) (ratelimit.Verdict, error) {
	leader, own := x.at()
	switch {
	case own:
		return x.local.Admit(limit, patience)
	case leader == "":
		return ratelimit.Verdict{}, errNoLeader
	}
	return x.client.Admit(ctx, leader, limit, patience)
}

// place is this instance's place in the fleet as the leader last told it.
func (x *exchange) place() ratelimit.Place {
	fleet := x.share.Told()
	return ratelimit.Place{Index: min(int(x.index.Load()), max(0, fleet-1)), Fleet: fleet}
}
