package node

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"galenastair"
	"galenastair/follow"
	"galenastair/platform"
	"galenastair/pool"
)

const (
	// regained is how long after the store's return an entry that lapsed meanwhile may
	// take to come back; one that is missing then is gone.
	regained = 2500 * time.Millisecond
	// sweepPeriod is how often lapsed entries are looked at.
	sweepPeriod = 250 * time.Millisecond
)

// servers follows the registrations of backend servers.
type servers struct {
	follower *follow.Follower
	logger   log.Logger
	clock    galenastair.Clock
	set      func(pool.Server)
	remove   func(galenastair.BackendServerID)

	batches chan serverBatch
	// urgent is the offset of the last record of a server that came, left or was gone.
	urgent atomic.Int64

	// owned by run
	known   map[galenastair.BackendServerID]galenastair.Offset
	lapsed  map[galenastair.BackendServerID]time.Time
	foreign map[galenastair.BackendServerID]bool
	told    map[galenastair.BackendServerID]identity
	back    time.Time
	away    bool
}

// identity is what all instances must know of a server at once; what it holds may wait.
type identity struct {
	service galenastair.ServiceName
	address string
	born    int64
	leaving bool
}

type serverBatch struct {
	galenastair.KeyedBatch
	whole bool
}

// newServers returns what knows no registration; its owner sets the follower, set and
// remove before it runs.
func newServers(logger log.Logger) *servers {
	return &servers{
		logger:  logger,
		clock:   galenastair.SystemClock{},
		batches: make(chan serverBatch),
		known:   map[galenastair.BackendServerID]galenastair.Offset{},
		lapsed:  map[galenastair.BackendServerID]time.Time{},
		foreign: map[galenastair.BackendServerID]bool{},
		told:    map[galenastair.BackendServerID]identity{},
	}
}

// apply hands a batch to run; it is called by the follower.
func (s *servers) apply(ctx context.Context) follow.Apply {
	return func(b galenastair.KeyedBatch, whole bool) {
		select {
		case s.batches <- serverBatch{b, whole}:
		case <-ctx.Done():
		}
	}
}

// run takes in batches and sweeps lapsed entries until the context ends.
func (s *servers) run(ctx context.Context) error {
	tick := time.NewTicker(sweepPeriod)
	defer tick.Stop()
	for {
		select {
		case b := <-s.batches:
			s.take(s.clock.Now(), b)
		case <-tick.C:
			s.sweep(s.clock.Now(), s.follower.Away())
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (s *servers) take(now time.Time, b serverBatch) {
	seen := map[galenastair.BackendServerID]bool{}
	for _, r := range b.Records {
		id := galenastair.BackendServerID(r.Key)
		seen[id] = true
		if old, ok := s.known[id]; ok && r.Offset < old {
			continue
		}
		s.known[id] = r.Offset
		s.takeRecord(now, id, r)
	}
	if !b.whole {
		return
	}
	for id := range s.known {
		if !seen[id] {
			s.lapse(now, id)
		}
	}
}

func (s *servers) takeRecord(now time.Time, id galenastair.BackendServerID, r galenastair.KeyedRecord) {
	if len(r.Value) == 0 {
		s.hurry(id, r.Offset, identity{})
		s.lapse(now, id)
		return
	}
	srv, err := platform.DecodeServer(r.Key, r.Value)
	if err != nil {
		if !s.foreign[id] {
			s.foreign[id] = true
			s.logger.Log("event", "registration unreadable", "server", id, "err", err)
		}
		return
	}
	delete(s.lapsed, id)
	s.hurry(id, r.Offset, identity{srv.Service, srv.Address, srv.Born, srv.Leaving})
	s.set(srv)
}

// hurry notes a record as urgent unless it says of its server what was known.
func (s *servers) hurry(id galenastair.BackendServerID, at galenastair.Offset, now identity) {
	if before, ok := s.told[id]; ok && before == now {
		return
	}
	s.told[id] = now
	s.urgent.Store(max(s.urgent.Load(), int64(at)))
}

// urgentAt returns the offset of the last record that all must know at once.
func (s *servers) urgentAt() galenastair.Offset { return galenastair.Offset(s.urgent.Load()) }

// lapse notes that an entry is gone. Right after an outage it may only have expired
// while its owner could not renew it; else its owner is gone or leaving.
//
// Failure: after an outage of the store all entries are gone for a moment. Taken at its
// word, the list would leave no backend server, and every request would be refused.
func (s *servers) lapse(now time.Time, id galenastair.BackendServerID) {
	if _, ok := s.lapsed[id]; ok {
		return
	}
	if s.away || now.Sub(s.back) < regained {
		s.lapsed[id] = now
		return
	}
	s.forget(id)
}

func (s *servers) forget(id galenastair.BackendServerID) {
	delete(s.known, id)
	delete(s.lapsed, id)
	delete(s.told, id)
	s.logger.Log("event", "backend server gone", "server", id)
	s.remove(id)
}

// sweep drops lapsed entries that have not come back in time.
func (s *servers) sweep(now time.Time, away bool) {
	if s.away && !away {
		s.back = now
	}
	s.away = away
	if away || now.Sub(s.back) < regained {
		return
	}
	for id := range s.lapsed {
		s.forget(id)
	}
}
