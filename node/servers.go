package node

import (
	"context"
	"strings"
	"time"

	"github.com/go-kit/log"
	"github.com/rotisserie/eris"

	"galenastair"
	"galenastair/follow"
	"galenastair/platform"
	"galenastair/pool"
	"galenastair/registry"
)

const (
	// reregisterTimeout is the time after a failed call to the store within which a server whose
	// registration has expired may register again; after that the server is removed. It ends,
	// with a sweep, before the instance counts as in contact with the store again, 3 s after
	// the outage; from then on the platform's bound on the use of removed servers applies.
	reregisterTimeout = 2600 * time.Millisecond
	// sweepInterval is the interval at which expired registrations are checked.
	sweepInterval = 250 * time.Millisecond
	// maxRegistrationAge bounds the age of a registration that is read before the store has confirmed
	// any: a registration expires three heartbeats of a second after the last.
	maxRegistrationAge = 3 * time.Second
)

// serverWatcher follows the registrations of backend servers.
type serverWatcher struct {
	follower *follow.Follower
	logger   log.Logger
	clock    galenastair.Clock
	onUpdate func(pool.Server)
	onRemove func(galenastair.BackendServerID)

	batches chan serverBatch
	// done is closed when run has returned.
	done chan struct{}
	// table holds the changes for other instances.
	table *registry.Table

	// used by run alone
	offsets     map[galenastair.BackendServerID]galenastair.Offset
	expired     map[galenastair.BackendServerID]bool
	undecodable map[galenastair.BackendServerID]bool
	leaving     map[galenastair.BackendServerID]bool
	// pendingEvents are the servers of each kind of event that are not logged yet.
	pendingEvents [numServerEvents][]string
	endAnnounced  map[galenastair.BackendServerID]bool
	// soonestEnd is the shortest time left of the servers in pendingEvents that announced their end.
	soonestEnd time.Duration
}

// serverEvent is a kind of change of a backend server's registration.
type serverEvent int

const (
	serverLeaving serverEvent = iota
	// serverEndAnnounced is the announcement of the time at which a leaving server ends.
	serverEndAnnounced
	// serverExpired is the loss of a registration whose server may register again.
	serverExpired
	serverRemoved
	numServerEvents
)

var eventNames = [numServerEvents]string{"backend server leaving", "backend server end announced", "backend server expired", "backend server gone"}

func (s *serverWatcher) recordEvent(e serverEvent, id galenastair.BackendServerID) {
	s.pendingEvents[e] = append(s.pendingEvents[e], string(id))
}

// logEvents writes one line for each kind of event. With a line for each server, a loss of power
// would cause as many lines as there are instances times servers.
func (s *serverWatcher) logEvents() {
	for e, ids := range s.pendingEvents {
		if len(ids) == 0 {
			continue
		}
		keyvals := []any{"event", eventNames[e], "count", len(ids), "server", strings.Join(ids, ",")}
		if serverEvent(e) == serverEndAnnounced {
			keyvals = append(keyvals, "left", s.soonestEnd)
		}
		s.logger.Log(keyvals...)
	}
	s.pendingEvents = [numServerEvents][]string{}
}

// serverBatch contains records read from the store or changes sent by another instance.
type serverBatch struct {
	galenastair.KeyedBatch
	snapshot bool
	changes  []registry.Change
	// applied is closed once the batch has been applied.
	applied chan struct{}
}

// newServerWatcher returns a watcher without registrations. The caller sets follower, onUpdate and
// onRemove before run.
func newServerWatcher(logger log.Logger) *serverWatcher {
	return &serverWatcher{
		logger:      logger,
		clock:       galenastair.SystemClock{},
		batches:     make(chan serverBatch),
		done:        make(chan struct{}),
		offsets:     map[galenastair.BackendServerID]galenastair.Offset{},
		expired:     map[galenastair.BackendServerID]bool{},
		undecodable: map[galenastair.BackendServerID]bool{},
		leaving:     map[galenastair.BackendServerID]bool{},

		endAnnounced: map[galenastair.BackendServerID]bool{},
		table:        registry.NewTable(),
	}
}

// apply applies a batch that the follower has read.
func (s *serverWatcher) apply(b galenastair.KeyedBatch, snapshot bool) {
	s.submit(serverBatch{KeyedBatch: b, snapshot: snapshot})
}

// applyChanges applies the changes that another instance has sent for the records before end.
func (s *serverWatcher) applyChanges(changes []registry.Change, end galenastair.Offset) {
	s.submit(serverBatch{KeyedBatch: galenastair.KeyedBatch{Next: end, End: end}, changes: changes})
}

// submit hands a batch to run and waits until it has been applied.
func (s *serverWatcher) submit(b serverBatch) {
	b.applied = make(chan struct{})
	select {
	case s.batches <- b:
	case <-s.done:
		return
	}
	<-b.applied
}

// run applies batches and removes expired registrations until the context is done.
func (s *serverWatcher) run(ctx context.Context) error {
	defer close(s.done)
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case b := <-s.batches:
			s.applyBatch(s.clock.Now(), b)
			close(b.applied)
			s.logEvents()
		case <-tick.C:
			s.sweep()
			s.logEvents()
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (s *serverWatcher) applyBatch(now time.Time, b serverBatch) {
	if b.snapshot {
		s.table.BeginSnapshot(b.Next)
	}
	seen := map[galenastair.BackendServerID]bool{}
	for _, r := range b.Records {
		id := galenastair.BackendServerID(r.Key)
		if !platform.IsServerID(r.Key) {
			// one entry for all such keys, which never get a server's id
			s.reportUnreadable("", eris.Wrapf(platform.ErrInvalidRegistration, "the key %q is no id", r.Key))
			continue
		}
		seen[id] = true
		if old, ok := s.offsets[id]; ok && r.Offset < old {
			continue
		}
		s.offsets[id] = r.Offset
		s.applyRecord(now, id, r)
	}
	for _, c := range b.changes {
		s.applyChange(now, c, b.Next)
	}
	if b.snapshot {
		for id := range s.offsets {
			if !seen[id] {
				s.handleRemoval(id, b.Next)
			}
		}
	}
	s.table.AdvanceTo(b.Next, b.snapshot)
}

// applyChange applies a change that another instance has sent for the records before end.
func (s *serverWatcher) applyChange(now time.Time, c registry.Change, end galenastair.Offset) {
	if c.Deleted {
		if _, known := s.offsets[c.ID]; known {
			s.handleRemoval(c.ID, end)
		}
		return
	}
	srv, ok := s.table.Apply(c, end)
	if !ok {
		return
	}
	s.offsets[c.ID] = end - 1
	s.update(now, srv)
}

// withLeavingSince sets the earliest time at which a leaving server may have announced that it
// leaves: the last time at which the store was known not to have the announcement.
func (s *serverWatcher) withLeavingSince(now time.Time, srv pool.Server) pool.Server {
	if !srv.Leaving {
		return srv
	}
	if age, known := s.follower.Age(); known {
		srv.LeavingSince = now.Add(-age)
	}
	return srv
}

func (s *serverWatcher) applyRecord(now time.Time, id galenastair.BackendServerID, r galenastair.KeyedRecord) {
	if len(r.Value) == 0 {
		s.handleRemoval(id, r.Offset)
		return
	}
	srv, err := platform.DecodeRegistration(now, r.Key, r.Value)
	if err != nil {
		s.reportUnreadable(id, err)
		return
	}
	if !srv.GoneAt.IsZero() {
		srv.GoneAt = srv.GoneAt.Add(-s.maxRecordAge())
	}
	s.update(now, s.table.Set(r.Offset, srv))
}

// reportUnreadable logs the first record of a key that is no registration.
func (s *serverWatcher) reportUnreadable(id galenastair.BackendServerID, err error) {
	if !s.undecodable[id] {
		s.undecodable[id] = true
		s.logger.Log("event", "registration unreadable", "server", id, "err", err)
	}
}

// maxRecordAge returns how long ago a record that has just been read may have been written.
func (s *serverWatcher) maxRecordAge() time.Duration {
	if age, known := s.follower.Age(); known {
		return age
	}
	return maxRegistrationAge
}

// update passes the current registration of a server to onUpdate.
func (s *serverWatcher) update(now time.Time, srv pool.Server) {
	delete(s.expired, srv.ID)
	if srv.Leaving && !s.leaving[srv.ID] {
		s.recordEvent(serverLeaving, srv.ID)
	}
	s.leaving[srv.ID] = srv.Leaving
	s.recordEnd(now, srv)
	s.onUpdate(s.withLeavingSince(now, srv))
}

// recordEnd records the first announcement of when a server ends.
func (s *serverWatcher) recordEnd(now time.Time, srv pool.Server) {
	if srv.GoneAt.IsZero() {
		delete(s.endAnnounced, srv.ID)
		return
	}
	if s.endAnnounced[srv.ID] {
		return
	}
	s.endAnnounced[srv.ID] = true
	if left := srv.GoneAt.Sub(now); len(s.pendingEvents[serverEndAnnounced]) == 0 || left < s.soonestEnd {
		s.soonestEnd = left
	}
	s.recordEvent(serverEndAnnounced, srv.ID)
}

// handleRemoval handles a registration that no longer exists. It defers the removal of the server
// after a failed call to the store: in an outage no server can renew its registration, so that all
// of them expire at once and return shortly after. Other instances are sent the removal
// immediately, as each of them knows whether its own calls have failed.
func (s *serverWatcher) handleRemoval(id galenastair.BackendServerID, at galenastair.Offset) {
	if s.expired[id] {
		return
	}
	s.table.Remove(at, id)
	if s.mayReregister() {
		s.expired[id] = true
		s.recordEvent(serverExpired, id)
		return
	}
	s.removeServer(id)
}

// mayReregister reports whether registrations may have expired because of a recent store outage.
func (s *serverWatcher) mayReregister() bool {
	since, failed := s.follower.SinceFailure()
	return failed && since < reregisterTimeout
}

func (s *serverWatcher) removeServer(id galenastair.BackendServerID) {
	delete(s.offsets, id)
	delete(s.expired, id)
	delete(s.leaving, id)
	delete(s.endAnnounced, id)
	delete(s.undecodable, id)
	s.recordEvent(serverRemoved, id)
	s.onRemove(id)
}

// sweep removes the servers that have not registered again within reregisterTimeout.
func (s *serverWatcher) sweep() {
	if s.mayReregister() {
		return
	}
	for id := range s.expired {
		s.removeServer(id)
	}
}
