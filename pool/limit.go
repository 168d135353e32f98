package pool

import (
	"time"

	"galenastair"
	"galenastair/ratelimit"
)

const (
	// limitProbe is how old the word of a limit may be before a request may find out whether
	// it still holds, although other servers would answer sooner.
	limitProbe = 2 * time.Second
	// limitEnded is how long the end of a limit is told: a few exchanges.
	limitEnded = 5 * time.Second
	// exchangeSkew is the most that an age told by another instance may be off.
	exchangeSkew = 100 * time.Millisecond
	// leastDeferral keeps a request that was turned away from asking again at once.
	leastDeferral = 20 * time.Millisecond
)

// limit is the rate that a server has named last.
type limit struct {
	perSecond float64
	// at is when it was named, or when an answer named none any more; zero if none ever did.
	at time.Time
	// own says that an answer to this instance did.
	own bool
}

// NoteLimit takes in what an answer says of a server's limit, 0 if it names none; sent is when the
// request went there. An answer that was under way when another named a limit does not end it.
func (p *Pool) NoteLimit(now time.Time, id galenastair.BackendServerID, perSecond float64, sent time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.members[id]
	switch {
	case m == nil:
	case perSecond > 0:
		m.limit = limit{perSecond, now, true}
	case m.limit.perSecond > 0 && sent.After(m.limit.at):
		m.limit = limit{0, now, true}
	}
}

// Limits returns what servers have named in answers to this instance.
func (p *Pool) Limits(now time.Time) []ratelimit.Limit {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []ratelimit.Limit
	for id, m := range p.members {
		ended := m.limit.perSecond == 0 && now.Sub(m.limit.at) > limitEnded
		if m.limit.own && !ended {
			out = append(out, m.limit.withAge(now, id))
		}
	}
	return out
}

func (l limit) withAge(now time.Time, id galenastair.BackendServerID) ratelimit.Limit {
	return ratelimit.Limit{Server: id, PerSecond: l.perSecond, Age: now.Sub(l.at)}
}

// SetOthersLimits takes in what servers have named in answers to any instance.
func (p *Pool) SetOthersLimits(now time.Time, limits []ratelimit.Limit) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range limits {
		at := now.Add(-l.Age)
		if m := p.members[l.Server]; m != nil && at.After(m.limit.at.Add(exchangeSkew)) {
			m.limit = limit{perSecond: l.PerSecond, at: at}
		}
	}
}

// Defer keeps requests from a server that takes no more for a while.
func (p *Pool) Defer(now time.Time, id galenastair.BackendServerID, d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if m := p.members[id]; m != nil {
		m.deferred = now.Add(max(leastDeferral, d))
	}
}

// deferral returns when the first deferred server takes requests again; false if none is.
func deferral(now time.Time, list []*member) (time.Duration, bool) {
	var least time.Duration
	found := false
	for _, m := range list {
		if d := m.deferred.Sub(now); d > 0 && (!found || d < least) {
			least, found = d, true
		}
	}
	return least, found
}
