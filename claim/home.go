package claim

import (
	"context"
	"slices"
	"sync"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"galenastair"
	"galenastair/peer/claimpb"
)

// errEpochChanged is returned when the members changed while a new owner was asking them.
var errEpochChanged = eris.New("the epoch changed meanwhile")

// grant decides, as the owner of a key, whether an attempt may be sent.
//
// Without this check, a new owner could grant a key that the previous owner granted just before
// ownership moved, and a bid would run twice. So an owner grants nothing until every
// member of its epoch has reported the attempts that it stores. Members report only in
// that epoch; from then on the previous owner grants nothing, and senders do not ask it.
func (m *Manager) grant(ctx context.Context, a Attempt) error {
	if !m.assignment.Serves(string(a.Key), m.clock.Now()) {
		return unavailable("not the key's home now")
	}
	if err := m.ensureSynced(ctx); err != nil {
		return unavailable("the key's home is taking over")
	}
	if !m.isSenderMember(&a) {
		// A later owner would not ask this sender and would miss its attempt.
		return unavailable("the sender is not a member")
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	if m.syncedEpoch != m.assignment.Epoch() || !m.assignment.Serves(string(a.Key), now) {
		return unavailable("the key's home moves")
	}
	if err := m.table.Open(now, a, m.isSenderMember); err != nil {
		return asRefusal(err)
	}
	return nil
}

// ensureSynced asks the members for their attempts unless that has been done in this epoch.
// Only one goroutine does so at a time.
func (m *Manager) ensureSynced(ctx context.Context) error {
	if m.isSynced() {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	select {
	case m.syncSemaphore <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-m.syncSemaphore }()
	if m.isSynced() {
		return nil
	}
	return m.sync(ctx)
}

func (m *Manager) isSynced() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.syncedEpoch == m.assignment.Epoch()
}

// sync collects the attempts that the members of the current epoch store for keys owned by this instance.
func (m *Manager) sync(ctx context.Context) error {
	epoch := m.assignment.Epoch()
	self := m.assignment.Self()
	members := m.assignment.Members()
	if m.assignment.Epoch() != epoch {
		return errEpochChanged
	}
	lists := make([][]Attempt, len(members))
	g, ctx := errgroup.WithContext(ctx)
	for i, p := range members {
		if p.ID == self.ID {
			continue
		}
		g.Go(func() error {
			var err error
			lists[i], err = m.fetchAttempts(ctx, p, epoch)
			return err
		})
	}
	if err := g.Wait(); err != nil {
		return err
	}
	return m.mergeSynced(epoch, lists)
}

func (m *Manager) fetchAttempts(ctx context.Context, p galenastair.Peer, epoch galenastair.Epoch) ([]Attempt, error) {
	m.metrics.messages.Inc()
	reply, err := m.peerClient(p).Sync(ctx, &claimpb.SyncRequest{Home: string(m.assignment.Self().ID), Epoch: int64(epoch)})
	if err != nil {
		return nil, eris.Wrap(errInvalidReply, err.Error())
	}
	return toAttempts(reply.Attempts, m.clock.Now()), nil
}

func (m *Manager) mergeSynced(epoch galenastair.Epoch, lists [][]Attempt) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, list := range lists {
		for _, stored := range m.table.Merge(m.clock.Now(), list...) {
			if !stored {
				return eris.New("too many claims")
			}
		}
	}
	m.syncedEpoch = epoch
	return nil
}

// attemptsForOwner returns the attempts that a new owner asks for. It fails unless this
// instance is in the same epoch: in an earlier one, this instance could still make an
// attempt at the previous owner, and in a later one, the list would lack keys that have
// moved to another owner since.
func (m *Manager) attemptsForOwner(owner galenastair.InstanceID, epoch galenastair.Epoch) ([]Attempt, error) {
	if m.assignment.Epoch() != epoch {
		return nil, errEpochChanged
	}
	list := m.attemptsOwnedBy(owner)
	if m.assignment.Epoch() != epoch {
		return nil, errEpochChanged
	}
	return list, nil
}

// attemptsOwnedBy returns the attempts in the table whose key has the given owner.
func (m *Manager) attemptsOwnedBy(owner galenastair.InstanceID) []Attempt {
	m.mu.Lock()
	all := m.table.List(m.clock.Now())
	m.mu.Unlock()
	return slices.DeleteFunc(all, func(a Attempt) bool { return m.owners.get(m.assignment, a.Key) != owner })
}

// ownerCache caches the owners of keys for one epoch. When the epoch changes, every member
// asks for its keys; ranking the members again for each key and each of these requests
// would take seconds of CPU time.
type ownerCache struct {
	mu     sync.Mutex
	epoch  galenastair.Epoch
	owners map[Key]galenastair.InstanceID
}

func (c *ownerCache) get(d Assignment, key Key) galenastair.InstanceID {
	c.mu.Lock()
	defer c.mu.Unlock()
	// The epoch is read before the owner, so that no cached owner is older than the epoch of the cache.
	if epoch := d.Epoch(); c.owners == nil || c.epoch != epoch {
		c.epoch = epoch
		c.owners = make(map[Key]galenastair.InstanceID)
	}
	if id, ok := c.owners[key]; ok {
		return id
	}
	p, _ := d.Owner(string(key))
	c.owners[key] = p.ID
	return p.ID
}
