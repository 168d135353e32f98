package pool

import (
	"time"

	"galenastair"
)

// Backoff keeps requests away from a server that has asked this instance to send none for a while.
func (p *Pool) Backoff(now time.Time, id galenastair.BackendServerID, d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if b := p.backends[id]; b != nil && now.Add(d).After(b.backoffUntil) {
		b.backoffUntil = now.Add(d)
	}
}

// refusalLeft returns for how much longer a server accepts no requests from this instance, because of
// its rate limit or a backoff.
func (b *backend) refusalLeft(now time.Time) time.Duration {
	return max(0, b.throttledUntil.Sub(now), b.backoffUntil.Sub(now))
}
