package claim

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"galenastair"
	"galenastair/peer/claimpb"
)

// errInvalidReply is returned when another instance did not reply, or not with what was asked for.
var errInvalidReply = eris.New("no valid reply from the instance")

// maxCopyAttempts is how many instances are asked to store a copy before the claim is
// refused. With a single one, a claim would fail if that instance had just died.
const maxCopyAttempts = 2

// Claim is the right to send one request once.
type Claim struct {
	manager *Manager
	key     Key
	id      AttemptID
	once    sync.Once
}

// Finish reports the outcome of the request. NotRun releases the key for another attempt.
func (c *Claim) Finish(o galenastair.Outcome) {
	c.once.Do(func() { c.manager.finish(c.key, c.id, o) })
}

// Begin claims a key for one request before it is sent, or returns a *galenastair.Refusal.
//
// The order of the steps prevents a key from being granted twice. The attempt is in this
// instance's table before the owner of the key is looked up. A new owner asks all members
// of its epoch, and this instance replies only after it has applied that epoch. So either
// the reply contains the attempt, or the attempt is made at the new owner.
func (m *Manager) Begin(ctx context.Context, o galenastair.Organisation, key galenastair.IdempotencyKey, d Digest, id galenastair.RequestID) (*Claim, error) {
	self := m.assignment.Self()
	a := Attempt{
		Key:         KeyOf(o, key),
		ID:          AttemptID{self.ID, id},
		Incarnation: m.incarnationOf(self.ID),
		Digest:      d,
		State:       Open,
		StartedAt:   m.clock.Now(),
	}
	err := m.begin(ctx, a)
	m.metrics.countClaim(err)
	if err != nil {
		return nil, err
	}
	return &Claim{manager: m, key: a.Key, id: a.ID}, nil
}

func (m *Manager) begin(ctx context.Context, a Attempt) error {
	if !m.assignment.HoldsLease(m.clock.Now()) {
		return galenastair.NewRefusal(galenastair.ErrNotMember, unavailableRetryAfter, "")
	}
	if err := m.openLocally(a); err != nil {
		return err
	}
	err := m.acquire(ctx, a)
	if err == nil && !m.assignment.HoldsLease(m.clock.Now()) {
		// After a pause longer than the lease, the key may have a new owner that has not asked this instance.
		err = galenastair.NewRefusal(galenastair.ErrNotMember, unavailableRetryAfter, "")
	}
	if err != nil {
		m.finish(a.Key, a.ID, galenastair.OutcomeNotRun)
	}
	return err
}

func (m *Manager) openLocally(a Attempt) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Open(m.clock.Now(), a, m.isSenderMember)
}

// acquire asks the owner of the key for the grant and ensures that two availability zones store the attempt.
func (m *Manager) acquire(ctx context.Context, a Attempt) error {
	owner, ok := m.assignment.Owner(string(a.Key))
	if !ok {
		return unavailable("the key has no home now")
	}
	if err := m.requestGrant(ctx, owner, a); err != nil {
		return err
	}
	if m.inOtherFailureDomain(owner) {
		return nil
	}
	return m.storeSecondCopy(ctx, a)
}

// inOtherFailureDomain reports whether a copy on the given instance survives the loss of this
// instance's zone, or, if all members are in one zone, the loss of this instance.
func (m *Manager) inOtherFailureDomain(p galenastair.Peer) bool {
	self := m.assignment.Self()
	return p.ID != self.ID && (p.AvailabilityZone != self.AvailabilityZone || m.singleZone())
}

func (m *Manager) singleZone() bool {
	zone := m.assignment.Self().AvailabilityZone
	return !slices.ContainsFunc(m.assignment.Members(), func(p galenastair.Peer) bool { return p.AvailabilityZone != zone })
}

// unavailable returns a refusal whose detail is sent to other instances and to callers. The
// details call the owner of an idempotency key its home.
func unavailable(detail string) error {
	return galenastair.NewRefusal(galenastair.ErrClaimUnavailable, unavailableRetryAfter, detail)
}

func (m *Manager) requestGrant(ctx context.Context, owner galenastair.Peer, a Attempt) error {
	if owner.ID == m.assignment.Self().ID {
		return m.grant(ctx, a)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	m.metrics.messages.Inc()
	reply, err := m.peerClient(owner).Begin(ctx, &claimpb.BeginRequest{Attempt: fromAttempt(a, a.StartedAt)})
	if err != nil {
		return unavailable("the key's home did not answer")
	}
	return fromReply(reply)
}

// storeSecondCopy stores a copy in another failure domain.
func (m *Manager) storeSecondCopy(ctx context.Context, a Attempt) error {
	candidates := m.copyCandidates(a.Key)
	for _, p := range candidates[:min(maxCopyAttempts, len(candidates))] {
		if err := m.sendCopies(ctx, p, []Attempt{a}); err == nil {
			return nil
		}
	}
	return unavailable("no second instance keeps the claim")
}

// sendCopies sends attempts to another instance for storage. The instance is recorded as
// a copy target before the call, so that the outcomes are sent to it even if its reply is
// lost, and as a confirmed copy after its reply.
func (m *Manager) sendCopies(ctx context.Context, p galenastair.Peer, list []Attempt) error {
	process := Process{p.ID, m.incarnationOf(p.ID)}
	m.updateAttempts(list, func(a *Attempt) { a.CopyTargets = []galenastair.InstanceID{p.ID} })
	results, err := m.sendAttempts(ctx, p, list)
	if err != nil {
		return err
	}
	if slices.Contains(results, notStored) {
		return errInvalidReply
	}
	m.updateAttempts(list, func(a *Attempt) { a.ConfirmedCopies = []Process{process} })
	return nil
}

func (m *Manager) updateAttempts(list []Attempt, change func(*Attempt)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, a := range list {
		change(&a)
		m.table.Merge(m.clock.Now(), a)
	}
}

// copyCandidates returns the instances in other failure domains that may store a copy of an
// attempt, in the order of rendezvous hashing.
func (m *Manager) copyCandidates(key Key) []galenastair.Peer {
	others := slices.DeleteFunc(slices.Clone(m.assignment.Members()), func(p galenastair.Peer) bool { return !m.inOtherFailureDomain(p) })
	score := func(p galenastair.Peer) uint64 { return xxhash.Sum64String(string(key) + "/" + string(p.ID)) }
	slices.SortFunc(others, func(p, q galenastair.Peer) int { return cmp.Compare(score(q), score(p)) })
	return others
}

func asRefusal(err error) *galenastair.Refusal {
	var r *galenastair.Refusal
	if errors.As(err, &r) {
		return r
	}
	return &galenastair.Refusal{
		Cause:      galenastair.ErrClaimUnavailable,
		Outcome:    galenastair.OutcomeNotRun,
		RetryAfter: unavailableRetryAfter,
		Detail:     err.Error(),
	}
}
