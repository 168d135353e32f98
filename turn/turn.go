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
	// Quiet is how long a new holder waits after it was given the duty by one that may
	// not know yet, so that no two holders take turns too fast.
	Quiet time.Duration
	// QuietLapsed is the same where the one before has lapsed, or has left.
	QuietLapsed time.Duration
}

const (
	// lease covers two joins and the answer of a slow store.
	lease = 1300 * time.Millisecond
	// hosting is as long as requests with a key are admitted without the store's word.
	hosting = 6 * time.Second
	// margin is for an order that was on its way when its sender stopped.
	margin = 400 * time.Millisecond
)

// DefaultBounds keeps the platform's least time between two holders. If engines check
// fences, only a holder that is in touch with the store counts: it learns of its end
// by its next join, and one whose membership has lapsed was out of touch for most of
// it. Else a holder may act to the end of its lease.
func DefaultBounds(between time.Duration, fencesChecked bool) Bounds {
	b := Bounds{Lease: lease, Quiet: lease + between + margin, QuietLapsed: between + margin}
	if fencesChecked {
		b.Quiet = joinPeriod + between + margin
		b.QuietLapsed = max(0, between+margin-(membership-joinPeriod))
	}
	return b
}

// Before says what is known of the holder before.
type Before int

// What may be known of the holder before.
const (
	// Unknown is one that may still act.
	Unknown Before = iota
	// Lapsed is one whose membership has lapsed, or that has left.
	Lapsed
	// Nobody says that there was none.
	Nobody
)

// Turn is one instance's view of the duty.
type Turn struct {
	bounds Bounds

	mu sync.Mutex
	// holds says that the last join answered gave the duty.
	holds     bool
	confirmed boottime.Time
	given     boottime.Time
	begins    boottime.Time
	resting   bool
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
		t.given, t.begins = now, now.Add(t.bounds.Quiet)
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

// SetFence gives the term its fence.
func (t *Turn) SetFence(term int, f galenastair.Fence, before Before) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if term != t.term || !t.holds {
		return
	}
	t.fence, t.fenced = f, true
	switch before {
	case Lapsed:
		t.begins = t.given.Add(t.bounds.QuietLapsed)
	case Nobody:
		t.begins = t.given
	}
}

// Rest ends the orders of this instance for good; it still lends while it holds the duty.
func (t *Turn) Rest() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.resting = true
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
	if !t.leased(now) || !t.fenced || t.resting || now < t.begins {
		return 0, false
	}
	return t.fence, true
}

// Fence returns the fence of the present term; false if none has begun.
func (t *Turn) Fence() (galenastair.Fence, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.fence, t.fenced
}

// Holds says whether this instance has the duty at all: it may hear the others and
// lend, though not yet order.
func (t *Turn) Holds(now boottime.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.leased(now)
}

// Hosts says whether others may exchange with this instance and borrow from it, also after
// its lease: as long as the store has not said that the duty is another's.
//
// Failure guarded against: the store is down for seconds, so that nobody can hold the duty.
// Each instance would spend its own part of the quotas alone, and know of no other's load.
// Nothing that is lent or told depends on there being one such instance only; orders do.
func (t *Turn) Hosts(now boottime.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.holds && now.Sub(t.confirmed) < hosting
}

// confirmedAt is when the last join was sent that gave the duty.
func (t *Turn) confirmedAt() boottime.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.confirmed
}

func (t *Turn) leased(now boottime.Time) bool {
	return t.holds && now.Sub(t.confirmed) < t.bounds.Lease
}
