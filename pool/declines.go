package pool

import (
	"time"

	"galenastair"
)

// maxDeclineShare bounds the share of an instance. In large fleets it is a decline in many seconds, after
// which the server has had room for long.
const maxDeclineShare = 2 * time.Second

// ObserveDecline backs off from a server that has declined a request because it has no room, and that
// fails if it has to decline more than limit requests per second. It returns the backoff.
//
// Each instance causes its share of the declines: one in a random time of once to twice the fleet size
// by the limit, so that the instances do not send to the server at the same time again.
func (p *Pool) ObserveDecline(now time.Time, id galenastair.BackendServerID, limit float64) time.Duration {
	share := min(maxDeclineShare, time.Duration(float64(max(1, p.fleetSize()))/limit*float64(time.Second)))
	d := share + time.Duration(p.randomFraction()*float64(share))
	p.Backoff(now, id, d)
	return d
}

func (p *Pool) randomFraction() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rng.Float64()
}
