package claim

import (
	"context"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"galenastair"
	"galenastair/peer/claimpb"
)

const (
	// maxConcurrentSends bounds the calls in progress at a time.
	maxConcurrentSends = 16
	// maxBatchAttempts bounds one message to about 50 KB.
	maxBatchAttempts = 256
)

// pendingOutcome is an outcome that some instances have not received yet.
type pendingOutcome struct {
	attempt Attempt
	since   time.Time
	// ownerPending is true until an instance that serves the key has stored the outcome.
	ownerPending bool
	copyTargets  []galenastair.InstanceID
}

// storeResult is how an instance stored an attempt that it received.
type storeResult int

const (
	notStored storeResult = iota
	storedAsCopy
	storedAsOwner
)

func (m *Manager) finish(key Key, id AttemptID, o galenastair.Outcome) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	a, ok := m.table.Settle(now, key, id, o)
	if !ok {
		return
	}
	m.pending[id] = &pendingOutcome{attempt: a, since: now, ownerPending: true, copyTargets: a.CopyTargets}
}

// sendOutcomes sends each pending outcome until the owner of the key and every copy have it.
// If a copy of a released key stayed Open, the next owner would refuse the key.
func (m *Manager) sendOutcomes(ctx context.Context) {
	var g errgroup.Group
	g.SetLimit(maxConcurrentSends)
	for p, list := range m.pendingByInstance() {
		g.Go(func() error {
			m.sendOutcomesTo(ctx, p, list)
			return nil
		})
	}
	// Outcomes that did not arrive stay pending.
	_ = g.Wait()
}

// pendingByInstance groups the pending outcomes by the instance that is to receive them.
func (m *Manager) pendingByInstance() map[galenastair.Peer][]Attempt {
	m.mu.Lock()
	defer m.mu.Unlock()
	self, now := m.assignment.Self().ID, m.clock.Now()
	batches := make(map[galenastair.Peer][]Attempt)
	for id, t := range m.pending {
		t.copyTargets = slices.DeleteFunc(slices.Clone(t.copyTargets), func(c galenastair.InstanceID) bool {
			_, ok := m.member(c)
			return !ok
		})
		owner, ok := m.assignment.Owner(string(t.attempt.Key))
		if ok && owner.ID == self && m.assignment.Serves(string(t.attempt.Key), now) {
			t.ownerPending = false
		}
		if !t.ownerPending && len(t.copyTargets) == 0 || !now.Before(t.since.Add(Lifetime)) {
			delete(m.pending, id)
			continue
		}
		targets := t.copyTargets
		if t.ownerPending && ok && owner.ID != self && !slices.Contains(targets, owner.ID) {
			targets = append(slices.Clip(targets), owner.ID)
		}
		for _, target := range targets {
			if p, ok := m.member(target); ok && len(batches[p]) < maxBatchAttempts {
				batches[p] = append(batches[p], t.attempt)
			}
		}
	}
	return batches
}

func (m *Manager) sendOutcomesTo(ctx context.Context, p galenastair.Peer, list []Attempt) {
	results, err := m.sendAttempts(ctx, p, list)
	if err != nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for i, a := range list {
		t := m.pending[a.ID]
		if t == nil || results[i] == notStored {
			continue
		}
		if results[i] == storedAsOwner {
			t.ownerPending = false
		}
		t.copyTargets = slices.DeleteFunc(slices.Clone(t.copyTargets), func(c galenastair.InstanceID) bool { return c == p.ID })
		if !t.ownerPending && len(t.copyTargets) == 0 {
			delete(m.pending, a.ID)
		}
	}
}

// sendAttempts sends attempts to another instance, which stores them.
func (m *Manager) sendAttempts(ctx context.Context, p galenastair.Peer, list []Attempt) ([]storeResult, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	m.metrics.messages.Inc()
	reply, err := m.peerClient(p).Tell(ctx, &claimpb.TellRequest{Attempts: fromAttempts(list, m.clock.Now())})
	if err != nil {
		return nil, err
	}
	if len(reply.Keeping) != len(list) {
		return nil, errInvalidReply
	}
	results := make([]storeResult, len(list))
	for i, w := range reply.Keeping {
		results[i] = storeResult(w)
	}
	return results, nil
}

// storeAttempts stores attempts received from another instance.
func (m *Manager) storeAttempts(list []Attempt) []storeResult {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	out := make([]storeResult, len(list))
	for i, stored := range m.table.Merge(now, list...) {
		switch {
		case !stored:
			out[i] = notStored
		case m.assignment.Serves(string(list[i].Key), now):
			out[i] = storedAsOwner
		default:
			out[i] = storedAsCopy
		}
	}
	return out
}

// restoreCopies ensures, after a change of epoch, that the attempts on keys owned by this
// instance are again stored in two availability zones.
func (m *Manager) restoreCopies(ctx context.Context) {
	epoch := m.assignment.Epoch()
	if m.lastRestoredEpoch() == epoch || !m.assignment.HoldsLease(m.clock.Now()) {
		return
	}
	if err := m.trySync(ctx); err != nil {
		return
	}
	for p, list := range m.underReplicated() {
		for batch := range slices.Chunk(list, maxBatchAttempts) {
			if err := m.sendCopies(ctx, p, batch); err != nil {
				return
			}
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.restoredEpoch = epoch
}

func (m *Manager) lastRestoredEpoch() galenastair.Epoch {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.restoredEpoch
}

// trySync asks the members for their attempts, unless another goroutine is doing so.
func (m *Manager) trySync(ctx context.Context) error {
	select {
	case m.syncSemaphore <- struct{}{}:
		defer func() { <-m.syncSemaphore }()
		return m.sync(ctx)
	default:
		return errEpochChanged
	}
}

// underReplicated returns the attempts without a second copy, grouped by the instance that is
// to store one.
func (m *Manager) underReplicated() map[galenastair.Peer][]Attempt {
	self := m.assignment.Self().ID
	batches := make(map[galenastair.Peer][]Attempt)
	for _, a := range m.attemptsOwnedBy(self) {
		if a.isReleased() || m.hasSecondCopy(a) {
			continue
		}
		if candidates := m.copyCandidates(a.Key); len(candidates) > 0 {
			batches[candidates[0]] = append(batches[candidates[0]], a)
		}
	}
	return batches
}

func (m *Manager) hasSecondCopy(a Attempt) bool {
	holders := append(slices.Clip(a.ConfirmedCopies), Process{a.ID.Sender, a.Incarnation})
	return slices.ContainsFunc(holders, func(h Process) bool {
		p, ok := m.member(h.ID)
		return ok && m.incarnationOf(h.ID) == h.Incarnation && m.inOtherFailureDomain(p)
	})
}
