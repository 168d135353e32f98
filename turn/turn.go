package turn

import (
	"sync"
	"time"

	"galenastair"
	"galenastair/boottime"
)

// Bounds are the times that a term keeps.
type Bounds struct {
	// Lease is how long after a join was sent its answer allows to act.
	Lease time.Duration
	// Quiet is how long a new holder waits after it was given the duty, so that no two
	// holders take turns too fast: the platform's bound, the lease of the one before,
	// which may not know yet, and a margin for the way of its last order.
	Quiet time.Duration
}

const (
	// lease covers two joins and the answer of a slow store.
	lease = 1300 * time.Millisecond
	// margin is for an order that was on its way when its sender's lease ended.
	margin = 200 * time.Millisecond
)

// DefaultBounds keeps the platform's least time between two holders.
func DefaultBounds(between time.Duration) Bounds {
	return Bounds{Lease: lease, Quiet: lease + between + margin}
}

// Turn is one instance's view of the duty.
type Turn struct {
	bounds Bounds

	mu sync.Mutex
	// holds says that the last join answered gave the duty.
	holds     bool
	confirmed boottime.Time
	begins    boottime.Time
	fence     galenastair.Fence
	fenced    bool
	term      int
}

// New returns a turn that holds nothing.
func New(b Bounds) *Turn { return &Turn{bounds: b} }

// Joined takes in the answer to a join that was sent at a time; mine says that it
// gives the duty. It reports whether a term begins, for which a fence is needed.
func (t *Turn) Joined(sent, now boottime.Time, mine bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	lapsed := t.holds && now.Sub(t.confirmed) >= t.bounds.Lease
	if !mine {
		t.end()
		return false
	}
	// Failure: a holder that was suspended past its lease may have been replaced and
	// given the duty back. Going on under its old fence it would order after another
	// holder with a lower fence; so its term ends with the lease.
	if !t.holds || lapsed {
		t.end()
		t.holds = true
		t.term++
		t.begins = now.Add(t.bounds.Quiet)
	}
	t.confirmed = sent
	return !t.fenced
}

func (t *Turn) end() {
	t.holds, t.fenced, t.fence = false, false, 0
}

// Term names the present term, for the fence that is asked for it.
func (t *Turn) Term() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.term
}

// SetFence gives the term its fence; first says that nobody held the duty before, so
// that there is nobody to wait for.
func (t *Turn) SetFence(term int, f galenastair.Fence, now boottime.Time, first bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if term != t.term || !t.holds {
		return
	}
	t.fence, t.fenced = f, true
	if first {
		t.begins = now
	}
}

// Refused ends the term: an engine has seen a higher fence.
func (t *Turn) Refused(f galenastair.Fence) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.fenced && t.fence == f {
		t.end()
	}
}

// Order returns the fence for an order that is sent now; false if none may be sent.
func (t *Turn) Order(now boottime.Time) (galenastair.Fence, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.leased(now) || !t.fenced || now < t.begins {
		return 0, false
	}
	return t.fence, true
}

// Holds says whether this instance has the duty at all: it may hear the others and
// lend, though not yet order.
func (t *Turn) Holds(now boottime.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.leased(now)
}

func (t *Turn) leased(now boottime.Time) bool {
	return t.holds && now.Sub(t.confirmed) < t.bounds.Lease
}
