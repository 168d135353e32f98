package pool

import (
	"slices"
	"time"

	"galenastair"
)

// announced is what the answers of a server's process have said of it. Its registrations may not say so,
// for example while the store is down.
type announced struct {
	// leaveAnnounced is set if the server is leaving.
	leaveAnnounced bool
	// backoffUntil is the time until which the server wants no requests from this instance.
	backoffUntil time.Time
}

// ObserveLeaving records that a server has announced in an answer that it is leaving. It reports
// whether that was not known yet. An answer of an earlier process with the same ID is ignored.
func (p *Pool) ObserveLeaving(now time.Time, id galenastair.BackendServerID, incarnation int64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	b := p.backends[id]
	if b == nil || b.Incarnation != incarnation || b.leaveAnnounced {
		return false
	}
	if !b.Leaving {
		b.leaveStart = now
	}
	b.leaveAnnounced = true
	return true
}

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

// maxDeparted bounds the servers in departed. A server that registers again does so within seconds.
const maxDeparted = 256

// departed keeps what servers announced whose registrations have ended, oldest first. A process that
// registers again, after an outage of the store, is still leaving or backing off.
type departed []departedServer

type departedServer struct {
	id          galenastair.BackendServerID
	incarnation int64
	leaveStart  time.Time
	announced
}

func (d *departed) add(b *backend) {
	if b.announced == (announced{}) {
		return
	}
	*d = append(*d, departedServer{b.ID, b.Incarnation, b.leaveStart, b.announced})
	if len(*d) > maxDeparted {
		*d = slices.Delete(*d, 0, 1)
	}
}

// take removes and returns what a process announced, and since when it may be leaving.
func (d *departed) take(id galenastair.BackendServerID, incarnation int64) (announced, time.Time) {
	i := slices.IndexFunc(*d, func(s departedServer) bool { return s.id == id && s.incarnation == incarnation })
	if i < 0 {
		return announced{}, time.Time{}
	}
	s := (*d)[i]
	*d = slices.Delete(*d, i, i+1)
	return s.announced, s.leaveStart
}
