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

const nursery = galenastair.Organisation("Sunrise Nursery")

var errLost = errors.New("lost")

// handClock is a clock that tests move.
type handClock struct {
	mu  sync.Mutex
	now time.Time
}

func newHandClock() *handClock { return &handClock{now: time.Unix(1000, 0)} }

func (c *handClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *handClock) pass(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

// fakeContracts is one contract for every organisation named.
type fakeContracts struct {
	contract Contract
	offset   galenastair.Offset
}

func (f fakeContracts) Contract(o galenastair.Organisation) (Contract, bool) {
	return f.contract, o == nursery
}
func (f fakeContracts) Organisations() []galenastair.Organisation {
	return []galenastair.Organisation{nursery}
}
func (f fakeContracts) Offset() galenastair.Offset { return f.offset }

// fakeDuties gives slot s of every organisation to owners[s].
type fakeDuties struct {
	self   galenastair.Peer
	owners [Holders]galenastair.Peer
	epoch  galenastair.Epoch
	serves bool
}

func (f fakeDuties) Self() galenastair.Peer                   { return f.self }
func (f fakeDuties) Epoch() galenastair.Epoch                 { return f.epoch }
func (f fakeDuties) Incarnation() int64                       { return 1 }
func (f fakeDuties) Owner(a Account) (galenastair.Peer, bool) { return f.owners[a.Slot], true }
func (f fakeDuties) Holds(a Account, _ time.Time) bool        { return f.owners[a.Slot] == f.self }
func (f fakeDuties) Serves(a Account, now time.Time) bool {
	return f.serves && f.Holds(a, now)
}

// fleet is a few limiters that call each other directly.
type fleet struct {
	clock    *handClock
	limiters []*Limiter
	peers    []galenastair.Peer
	mu       sync.Mutex
	duties   []fakeDuties
	views    []fakeContracts
	dead     map[galenastair.InstanceID]bool
	// exchange, if set, stands between caller and callee.
	exchange func(to galenastair.Peer, call func() (*ratepb.ExchangeReply, error)) (*ratepb.ExchangeReply, error)
	history  []Grant
	requests atomic.Int64
}

func newFleet(n int, c Contract) *fleet {
	f := &fleet{clock: newHandClock(), dead: make(map[galenastair.InstanceID]bool)}
	for i := range n {
		zone := galenastair.AvailabilityZone(fmt.Sprint("zone-", i%3))
		f.peers = append(f.peers, galenastair.Peer{ID: galenastair.InstanceID(fmt.Sprint("entry-", i)), AvailabilityZone: zone})
	}
	for i := range n {
		f.duties = append(f.duties, fakeDuties{f.peers[i], [Holders]galenastair.Peer(f.peers[:Holders]), 1, true})
		f.views = append(f.views, fakeContracts{c, 1})
		f.limiters = append(f.limiters, f.limiter(i))
	}
	f.poll()
	return f
}

func (f *fleet) limiter(i int) *Limiter {
	duties := func() Duties {
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.duties[i]
	}
	contracts := func() Contracts {
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.views[i]
	}
	record := func(g Grant) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.history = append(f.history, g)
	}
	connect := func(p galenastair.Peer) ratepb.Rate { return link{f, p} }
	opts := []Option{WithClock(f.clock), WithConnect(connect), WithHistory(record)}
	return New(duties, contracts, opts...)
}

func (f *fleet) poll() {
	for _, l := range f.limiters {
		l.Poll(context.Background())
	}
}

// pass lets time go by in steps as long as the polls of the product.
func (f *fleet) pass(d time.Duration) {
	for ; d > 0; d -= pollPeriod {
		f.clock.pass(min(d, pollPeriod))
		for i, l := range f.limiters {
			if !f.dead[f.peers[i].ID] {
				l.Poll(context.Background())
				l.Flush(context.Background())
			}
		}
	}
}

// link calls one limiter of the fleet.
type link struct {
	fleet *fleet
	to    galenastair.Peer
}

func (k link) Exchange(ctx context.Context, r *ratepb.ExchangeRequest) (*ratepb.ExchangeReply, error) {
	f := k.fleet
	f.mu.Lock()
	dead := f.dead[k.to.ID]
	f.mu.Unlock()
	if dead {
		return nil, errLost
	}
	call := func() (*ratepb.ExchangeReply, error) {
		for i, p := range f.peers {
			if p == k.to {
				return f.limiters[i].Server().Exchange(ctx, r)
			}
		}
		return nil, errLost
	}
	if f.exchange == nil {
		return call()
	}
	return f.exchange(k.to, call)
}
