package lease

import (
	"sync"
	"time"

	"galenastair"
	"galenastair/boottime"
)

// Bounds are the times that a term keeps.
type Bounds struct {
	// Lease is how long after a renewal was sent its answer allows to act.
	Lease time.Duration
	// Quiet is how long a new leader waits before its first order where the one before
	// may not know yet that it was replaced.
	Quiet time.Duration
	// QuietLapsed is the same where the lease of the one before has expired or was released.
	QuietLapsed time.Duration
}

const (
	// lease covers two renewals and the answer of a slow store.
	lease = 1300 * time.Millisecond
	// hosting is as long as requests with a key are admitted without the store's word.
	hosting = 6 * time.Second
	// margin is for an order that was on its way when its sender stopped.
	margin = 400 * time.Millisecond
)

// DefaultBounds keeps the platform's least time between orders of two leaders. If engines
// check fences, only a leader that reaches the store counts: it learns of its end by its
// next renewal, and one whose lease expired was out of touch for most of the ttl. Else a
// leader may act to the end of its lease.
func DefaultBounds(between time.Duration, fencesChecked bool) Bounds {
	b := Bounds{Lease: lease, Quiet: lease + between + margin, QuietLapsed: between + margin}
	if fencesChecked {
		b.Quiet = renewPeriod + between + margin
		b.QuietLapsed = max(0, between+margin-(ttl-renewPeriod))
	}
	return b
}

// Before says what is known of the leader before.
type Before int

// What may be known of the leader before.
const (
	// Unknown is one that may still act.
	Unknown Before = iota
	// Lapsed is one whose lease has expired or was released.
	Lapsed
	// Nobody says that there was none.
	Nobody
)

// Lease is one instance's view of its own lease.
type Lease struct {
	bounds Bounds

	mu sync.Mutex
	// holds says that the last renewal answered was accepted.
	holds     bool
	confirmed boottime.Time
	given     boottime.Time
	begins    boottime.Time
	resting   bool
	fence     galenastair.Fence
	fenced    bool
	term      int
}

// New returns a lease that is not held.
func New(b Bounds) *Lease { return &Lease{bounds: b} }

// Renewed takes in the answer to a renewal, or to the write that takes the lease; mine says
// that it was accepted. It reports whether a term begins, for which a fence is needed.
func (l *Lease) Renewed(sent, now boottime.Time, mine bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	lapsed := l.holds && now.Sub(l.confirmed) >= l.bounds.Lease
	if !mine {
		l.end()
		return false
	}
	// one that was suspended past its lease may have been replaced meanwhile: its term ends
	if !l.holds || lapsed {
		l.end()
		l.holds = true
		l.term++
		l.given, l.begins = now, now.Add(l.bounds.Quiet)
	}
	l.confirmed = sent
	return !l.fenced
}

func (l *Lease) end() {
	l.holds, l.fenced, l.fence = false, false, 0
}

// Term names the present term, for the fence that is asked for it.
func (l *Lease) Term() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.term
}

// SetFence gives the term its fence.
func (l *Lease) SetFence(term int, f galenastair.Fence, before Before) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if term != l.term || !l.holds {
		return
	}
	l.fence, l.fenced = f, true
	switch before {
	case Lapsed:
		l.begins = l.given.Add(l.bounds.QuietLapsed)
	case Nobody:
		l.begins = l.given
	}
}

// Retire ends the orders of this instance for good; it still lends while it holds the lease.
func (l *Lease) Retire() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.resting = true
}

// Refused ends the term: an engine has seen a higher fence.
func (l *Lease) Refused(f galenastair.Fence) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.fenced && l.fence == f {
		l.end()
	}
}

// Order returns the fence for an order that is sent now; false if none may be sent.
func (l *Lease) Order(now boottime.Time) (galenastair.Fence, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.leased(now) || l.resting || now < l.begins {
		return 0, false
	}
	return l.fence, true
}

// Fence returns the fence of the present term; false if none has begun.
func (l *Lease) Fence() (galenastair.Fence, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fence, l.fenced
}

// Holds says whether this instance has the lease: it may hear the others and lend, though
// not yet order.
func (l *Lease) Holds(now boottime.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.leased(now)
}

// Hosts says whether others may exchange with this instance and borrow from it, also after
// its lease, until the store has said that it ended. In an outage of the store nobody can
// renew, and what is lent or told does not depend on there being one such instance.
func (l *Lease) Hosts(now boottime.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.holds && l.fenced && now.Sub(l.confirmed) < hosting
}

// confirmedAt is when the last accepted renewal was sent.
func (l *Lease) confirmedAt() boottime.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.confirmed
}

// leased is false before the term's fence is known: what the leader before has left is read
// by then.
func (l *Lease) leased(now boottime.Time) bool {
	return l.holds && l.fenced && now.Sub(l.confirmed) < l.bounds.Lease
}
