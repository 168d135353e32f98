package node

import (
	"context"
	"strings"
	"time"

	"github.com/go-kit/log"

	"galenastair"
	"galenastair/follow"
	"galenastair/platform"
	"galenastair/pool"
	"galenastair/registry"
)

const (
	// reregisterTimeout is how long after a call that the store did not answer an entry that
	// expired meanwhile may take to come back; one that is missing then is gone. It ends, with
	// a sweep, before an instance counts as in touch with the store again.
	reregisterTimeout = 2600 * time.Millisecond
	// sweepPeriod is how often expired entries are looked at.
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
	// ended is closed when run has returned.
	ended chan struct{}
	// table answers others for what changed.
	table *registry.Table

	// owned by run
	known   map[galenastair.BackendServerID]galenastair.Offset
	expired map[galenastair.BackendServerID]bool
	foreign map[galenastair.BackendServerID]bool
	leaving map[galenastair.BackendServerID]bool
	// unlogged are the servers of each event since the last line.
	unlogged [serverEvents][]string
}

// serverEvent is what becomes of a backend server's registration.
type serverEvent int

const (
	serverLeaving serverEvent = iota
	// serverExpired is one whose entry is gone and may come back.
	serverExpired
	serverGone
	serverEvents
)

var eventNames = [serverEvents]string{"backend server leaving", "backend server expired", "backend server gone"}

func (s *servers) note(e serverEvent, id galenastair.BackendServerID) {
	s.unlogged[e] = append(s.unlogged[e], string(id))
}

// logEvents writes one line for each event: after a loss of power a line for each server at each
// instance would be the fleet times the servers.
func (s *servers) logEvents() {
	for e, ids := range s.unlogged {
		if len(ids) > 0 {
			s.logger.Log("event", eventNames[e], "count", len(ids), "server", strings.Join(ids, ","))
		}
	}
	s.unlogged = [serverEvents][]string{}
}

// serverBatch is what was read, or told by another instance.
type serverBatch struct {
	galenastair.KeyedBatch
	whole   bool
	changes []registry.Change
	// taken is closed once the batch has been taken in.
	taken chan struct{}
}

// newServers returns what knows no registration; its owner sets the follower, set and
// remove before it runs.
func newServers(logger log.Logger) *servers {
	return &servers{
		logger:  logger,
		clock:   galenastair.SystemClock{},
		batches: make(chan serverBatch),
		ended:   make(chan struct{}),
		known:   map[galenastair.BackendServerID]galenastair.Offset{},
		expired: map[galenastair.BackendServerID]bool{},
		foreign: map[galenastair.BackendServerID]bool{},
		leaving: map[galenastair.BackendServerID]bool{},
		table:   registry.NewTable(),
	}
}

// apply takes in what the follower has read.
func (s *servers) apply(b galenastair.KeyedBatch, whole bool) {
	s.submit(serverBatch{KeyedBatch: b, whole: whole})
}

// applyChanges takes in what another instance told of the records before an offset.
func (s *servers) applyChanges(changes []registry.Change, end galenastair.Offset) {
	s.submit(serverBatch{KeyedBatch: galenastair.KeyedBatch{Next: end, End: end}, changes: changes})
}

// submit waits until run has taken a batch in.
func (s *servers) submit(b serverBatch) {
	b.taken = make(chan struct{})
	select {
	case s.batches <- b:
	case <-s.ended:
		return
	}
	<-b.taken
}

// run takes in batches and sweeps expired entries until the context ends.
func (s *servers) run(ctx context.Context) error {
	defer close(s.ended)
	tick := time.NewTicker(sweepPeriod)
	defer tick.Stop()
	for {
		select {
		case b := <-s.batches:
			s.take(s.clock.Now(), b)
			close(b.taken)
			s.logEvents()
		case <-tick.C:
			s.sweep()
			s.logEvents()
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
	for _, c := range b.changes {
		s.takeChange(now, c, b.Next)
	}
	if b.whole {
		for id := range s.known {
			if !seen[id] {
				s.expire(id, b.Next)
			}
		}
	}
	s.table.AdvanceTo(b.Next, b.whole)
}

// takeChange takes in what another instance knows of a server.
func (s *servers) takeChange(now time.Time, c registry.Change, end galenastair.Offset) {
	if c.Gone {
		if _, there := s.known[c.ID]; there {
			s.expire(c.ID, end)
		}
		return
	}
	srv, ok := s.table.Apply(c, end)
	if !ok {
		return
	}
	s.known[c.ID] = end - 1
	s.use(now, srv)
}

// since says when a server that leaves may have said so first: when the store was last known
// not to have heard it yet.
func (s *servers) since(now time.Time, srv pool.Server) pool.Server {
	if !srv.Leaving {
		return srv
	}
	if age, known := s.follower.Age(); known {
		srv.LeavingSince = now.Add(-age)
	}
	return srv
}

func (s *servers) takeRecord(now time.Time, id galenastair.BackendServerID, r galenastair.KeyedRecord) {
	if len(r.Value) == 0 {
		s.expire(id, r.Offset)
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
	s.table.Set(r.Offset, srv)
	s.use(now, srv)
}

// use hands on a server as it is registered now.
func (s *servers) use(now time.Time, srv pool.Server) {
	delete(s.expired, srv.ID)
	if srv.Leaving && !s.leaving[srv.ID] {
		s.note(serverLeaving, srv.ID)
	}
	s.leaving[srv.ID] = srv.Leaving
	s.set(s.since(now, srv))
}

// expire notes that an entry is gone. Right after an outage of the store all are gone for a
// moment, as their owners could not renew them. Others are told at once: whether the store
// was away for them too, each knows for itself.
func (s *servers) expire(id galenastair.BackendServerID, at galenastair.Offset) {
	if s.expired[id] {
		return
	}
	s.table.Remove(at, id)
	if s.mayReturn() {
		s.expired[id] = true
		s.note(serverExpired, id)
		return
	}
	s.forget(id)
}

// mayReturn says whether entries that are gone may have expired for lack of the store.
func (s *servers) mayReturn() bool {
	since, lost := s.follower.SinceUnanswered()
	return lost && since < reregisterTimeout
}

func (s *servers) forget(id galenastair.BackendServerID) {
	delete(s.known, id)
	delete(s.expired, id)
	delete(s.leaving, id)
	s.note(serverGone, id)
	s.remove(id)
}

// sweep drops expired entries that have not come back in time.
func (s *servers) sweep() {
	if s.mayReturn() {
		return
	}
	for id := range s.expired {
		s.forget(id)
	}
}
