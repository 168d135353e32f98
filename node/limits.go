package node

import (
	"context"
	"time"

	"galenastair/ratelimit"
)

// limits admit requests to backend servers that have named a limit: by the leader, and by this
// instance's own share while that does not answer.
type limits struct {
	exchange *exchange
	shares   *ratelimit.Shares
	metrics  *metrics
}

// Admit asks the leader for a turn.
func (l limits) Admit(ctx context.Context, limit ratelimit.Limit, patience time.Duration) ratelimit.Verdict {
	v, err := l.exchange.admit(ctx, limit, patience)
	if err == nil {
		l.metrics.turn("Leader", v.Granted)
		return v
	}
	now := time.Now()
	l.exchange.logger.Log("event", "limit share", "server", limit.Server, "limit", limit.PerSecond, "err", err)
	l.shares.Lost(now)
	v = l.shares.Admit(now, limit, l.exchange.place())
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
