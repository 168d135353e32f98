package rate

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"galenastair"
	"galenastair/peer/ratepb"
)

const testOrganisation = galenastair.Organisation("Sunrise Nursery")

var errLost = errors.New("lost")

// fakeClock is a clock that tests advance.
type fakeClock struct {
	mu  sync.Mutex
	now time.Time
}

func newFakeClock() *fakeClock { return &fakeClock{now: time.Unix(1000, 0)} }

func (c *fakeClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *fakeClock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

// fakeContracts has one contract, for testOrganisation.
type fakeContracts struct {
	contract Contract
	offset   galenastair.Offset
}

func (f fakeContracts) Contract(o galenastair.Organisation) (Contract, bool) {
	return f.contract, o == testOrganisation
}
func (f fakeContracts) Organisations() []galenastair.Organisation {
	return []galenastair.Organisation{testOrganisation}
}
func (f fakeContracts) Offset() galenastair.Offset { return f.offset }

// fakeAssignment assigns slot s of every organisation to owners[s].
type fakeAssignment struct {
	self   galenastair.Peer
	owners [Holders]galenastair.Peer
	epoch  galenastair.Epoch
	serves bool
}

func (f fakeAssignment) Self() galenastair.Peer                    { return f.self }
func (f fakeAssignment) Epoch() galenastair.Epoch                  { return f.epoch }
func (f fakeAssignment) Incarnation() int64                        { return 1 }
func (f fakeAssignment) Owner(id ShareID) (galenastair.Peer, bool) { return f.owners[id.Slot], true }
func (f fakeAssignment) Owns(id ShareID, _ time.Time) bool         { return f.owners[id.Slot] == f.self }
func (f fakeAssignment) Serves(id ShareID, now time.Time) bool {
	return f.serves && f.Owns(id, now)
}

// fleet is a set of limiters that call each other directly.
type fleet struct {
	clock       *fakeClock
	limiters    []*Limiter
	peers       []galenastair.Peer
	mu          sync.Mutex
	assignments []fakeAssignment
	views       []fakeContracts
	dead        map[galenastair.InstanceID]bool
	// exchange, if set, intercepts calls between limiters.
	exchange func(to galenastair.Peer, call func() (*ratepb.ExchangeReply, error)) (*ratepb.ExchangeReply, error)
	history  []Grant
	requests atomic.Int64
}

func newFleet(n int, c Contract) *fleet {
	f := &fleet{clock: newFakeClock(), dead: make(map[galenastair.InstanceID]bool)}
	for i := range n {
		zone := galenastair.AvailabilityZone(fmt.Sprint("zone-", i%3))
		f.peers = append(f.peers, galenastair.Peer{ID: galenastair.InstanceID(fmt.Sprint("entry-", i)), AvailabilityZone: zone})
	}
	for i := range n {
		f.assignments = append(f.assignments, fakeAssignment{f.peers[i], [Holders]galenastair.Peer(f.peers[:Holders]), 1, true})
		f.views = append(f.views, fakeContracts{c, 1})
		f.limiters = append(f.limiters, f.newLimiter(i))
	}
	f.reconcile()
	return f
}

func (f *fleet) newLimiter(i int) *Limiter {
	assignment := func() Assignment {
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.assignments[i]
	}
	contracts := func() Contracts {
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.views[i]
	}
	onGrant := func(g Grant) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.history = append(f.history, g)
	}
	newClient := func(p galenastair.Peer) ratepb.Rate { return directClient{f, p} }
	opts := []Option{WithClock(f.clock), WithRateClient(newClient), WithGrantObserver(onGrant)}
	return New(assignment, contracts, opts...)
}

func (f *fleet) reconcile() {
	for _, l := range f.limiters {
		l.Reconcile(context.Background())
	}
}

// advance advances the clock in steps of maintenanceInterval and runs Reconcile and
// Flush after each.
func (f *fleet) advance(d time.Duration) {
	for ; d > 0; d -= maintenanceInterval {
		f.clock.advance(min(d, maintenanceInterval))
		for i, l := range f.limiters {
			if !f.dead[f.peers[i].ID] {
				l.Reconcile(context.Background())
				l.Flush(context.Background())
			}
		}
	}
}

// directClient calls one limiter of the fleet.
type directClient struct {
	fleet *fleet
	to    galenastair.Peer
}

func (c directClient) Exchange(ctx context.Context, r *ratepb.ExchangeRequest) (*ratepb.ExchangeReply, error) {
	f := c.fleet
	f.mu.Lock()
	dead := f.dead[c.to.ID]
	f.mu.Unlock()
	if dead {
		return nil, errLost
	}
	call := func() (*ratepb.ExchangeReply, error) {
		for i, p := range f.peers {
			if p == c.to {
				return f.limiters[i].Server().Exchange(ctx, r)
			}
		}
		return nil, errLost
	}
	if f.exchange == nil {
		return call()
	}
	return f.exchange(c.to, call)
}
