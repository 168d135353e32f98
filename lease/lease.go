package lease

import (
	"sync"
	"time"

	"galenastair"
	"galenastair/boottime"
)

// Timing holds the time limits of a term.
type Timing struct {
	// LeaseDuration is how long after sending a renewal its answer allows the leader to act.
	LeaseDuration time.Duration
	// TakeoverDelay is how long a new leader waits before its first order if its predecessor may
	// not know yet that it was replaced.
	TakeoverDelay time.Duration
	// TakeoverDelayLapsed applies instead if the predecessor's lease has expired or was released.
	TakeoverDelayLapsed time.Duration
}

const (
	// leaseDuration covers two renewals and the answer of a slow store.
	leaseDuration = 1300 * time.Millisecond
	// peerServiceDuration covers the time for which a caller's API key, which belongs to an
	// organisation, is accepted without contact to the store (KeyLife in the settings).
	peerServiceDuration = 6 * time.Second
	// orderTransit allows for an order that was in transit when its sender stopped.
	orderTransit = 400 * time.Millisecond
)

// DefaultTiming keeps the platform's minimum interval between orders of two leaders. If engines
// check fencing tokens, only a leader that reaches the store counts: it learns that it was
// replaced at its next renewal, and one whose lease expired has had no contact for most of the
// TTL. If they do not, a leader may act until the end of its lease.
func DefaultTiming(minOrderInterval time.Duration, fencesChecked bool) Timing {
	t := Timing{LeaseDuration: leaseDuration, TakeoverDelay: leaseDuration + minOrderInterval + orderTransit, TakeoverDelayLapsed: minOrderInterval + orderTransit}
	if fencesChecked {
		t.TakeoverDelay = renewPeriod + minOrderInterval + orderTransit
		t.TakeoverDelayLapsed = max(0, minOrderInterval+orderTransit-(ttl-renewPeriod))
	}
	return t
}

// Predecessor is what is known of the previous leader.
type Predecessor int

// The states of a previous leader.
const (
	// PredecessorUnknown means that the previous leader may still act.
	PredecessorUnknown Predecessor = iota
	// PredecessorLapsed means that its lease has expired or was released.
	PredecessorLapsed
	// NoPredecessor means that there was no previous leader.
	NoPredecessor
)

// Lease is one instance's view of its own lease.
type Lease struct {
	timing Timing

	mu sync.Mutex
	// held means that the last answered renewal was accepted.
	held          bool
	lastConfirmed boottime.Time
	termStart     boottime.Time
	ordersFrom    boottime.Time
	ordersStopped bool
	fence         galenastair.Fence
	fenceSet      bool
	term          int
}

// New returns a lease that is not held.
func New(t Timing) *Lease { return &Lease{timing: t} }

// HandleRenewal applies the answer to a renewal, or to the write that takes the lease; accepted is
// its result. It reports whether the term needs a fencing token.
func (l *Lease) HandleRenewal(sent, now boottime.Time, accepted bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	lapsed := l.held && now.Sub(l.lastConfirmed) >= l.timing.LeaseDuration
	if !accepted {
		l.endTerm()
		return false
	}
	// an instance that was suspended past its lease may have been replaced meanwhile: its term
	// ends
	if !l.held || lapsed {
		l.endTerm()
		l.held = true
		l.term++
		l.termStart, l.ordersFrom = now, now.Add(l.timing.TakeoverDelay)
	}
	l.lastConfirmed = sent
	return !l.fenceSet
}

func (l *Lease) endTerm() {
	l.held, l.fenceSet, l.fence = false, false, 0
}

// Term returns the number of the current term, to be passed to SetFence.
func (l *Lease) Term() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.term
}

// SetFence sets the fencing token of a term, unless the term has ended.
func (l *Lease) SetFence(term int, f galenastair.Fence, predecessor Predecessor) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if term != l.term || !l.held {
		return
	}
	l.fence, l.fenceSet = f, true
	switch predecessor {
	case PredecessorLapsed:
		l.ordersFrom = l.termStart.Add(l.timing.TakeoverDelayLapsed)
	case NoPredecessor:
		l.ordersFrom = l.termStart
	}
}

// StopOrders ends the orders of this instance for good. It still lends while it holds the lease.
func (l *Lease) StopOrders() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ordersStopped = true
}

// FenceRejected ends the term, because an engine has seen a higher fencing token.
func (l *Lease) FenceRejected(f galenastair.Fence) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.fenceSet && l.fence == f {
		l.endTerm()
	}
}

// OrderFence returns the fencing token for an order sent now; false if none may be sent.
func (l *Lease) OrderFence(now boottime.Time) (galenastair.Fence, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.valid(now) || l.ordersStopped || now < l.ordersFrom {
		return 0, false
	}
	return l.fence, true
}

// Fence returns the fencing token of the current term; false if none is set.
func (l *Lease) Fence() (galenastair.Fence, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fence, l.fenceSet
}

// Holds reports whether this instance holds the lease. It may then lend and accept exchanges,
// though possibly not send orders yet.
func (l *Lease) Holds(now boottime.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.valid(now)
}

// ServesPeers reports whether others may exchange with this instance and borrow from it. This
// outlasts the lease until the store reports that it has ended: in a store outage nobody can
// renew, and lending and exchanges do not require that only one instance serves them.
func (l *Lease) ServesPeers(now boottime.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.held && l.fenceSet && now.Sub(l.lastConfirmed) < peerServiceDuration
}

// confirmedAt returns when the last accepted renewal was sent.
func (l *Lease) confirmedAt() boottime.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lastConfirmed
}

// valid reports whether the lease is held and has not expired. It is false until the fencing token
// is set, which follows the reading of the predecessor's checkpoint.
func (l *Lease) valid(now boottime.Time) bool {
	return l.held && l.fenceSet && now.Sub(l.lastConfirmed) < l.timing.LeaseDuration
}
