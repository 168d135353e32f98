package node

import (
	"context"
	"fmt"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"

	"galenastair"
	"galenastair/follow"
	"galenastair/platform"
	"galenastair/pool"
	"galenastair/standin/metastore"
)

// registrations are what one instance knows of backend servers, without a store.
type registrations struct {
	*servers
	used map[galenastair.BackendServerID]bool
	next galenastair.Offset
}

func newRegistrations() *registrations {
	r := &registrations{servers: newServers(log.NewNopLogger()), used: map[galenastair.BackendServerID]bool{}}
	r.follower = follow.New(nil, platform.RegistrationTopic, nil)
	r.set = func(s pool.Server) { r.used[s.ID] = true }
	r.remove = func(id galenastair.BackendServerID) { delete(r.used, id) }
	return r
}

// loseStore has the store refuse one call just now.
func (r *registrations) loseStore(t *testing.T) {
	t.Helper()
	store := metastore.New()
	store.Switch(func(sw *metastore.Switches) { sw.Refuse = true })
	h := httptest.NewServer(store.Handler())
	defer h.Close()
	r.follower = follow.New(platform.NewStore(h.Listener.Addr().String()), platform.RegistrationTopic, nil)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_ = r.follower.Run(ctx)
}

// read takes in records of the store from an offset on.
func (r *registrations) read(now time.Time, from galenastair.Offset, whole bool, records ...galenastair.KeyedRecord) {
	for i := range records {
		records[i].Offset = from + galenastair.Offset(i)
	}
	end := from + galenastair.Offset(len(records))
	r.take(now, serverBatch{KeyedBatch: galenastair.KeyedBatch{Records: records, Next: end, End: end}, whole: whole})
	r.next = end
}

// learn takes in what another instance tells of the records from this one's position on.
func (r *registrations) learn(t *testing.T, now time.Time, from *registrations) {
	t.Helper()
	changes, end, ok := from.table.Since(r.next)
	if !ok {
		t.Fatal("the position is not known")
	}
	r.take(now, serverBatch{KeyedBatch: galenastair.KeyedBatch{Next: end, End: end}, changes: changes})
	r.next = end
}

func registration(id string, beat int) galenastair.KeyedRecord {
	value := fmt.Sprintf(`{"service":"s","address":"10.0.0.1:80","zone":"z","slots":4,"state":"ready","born":1,"sequence":%d}`, beat)
	return galenastair.KeyedRecord{Key: id, Value: []byte(value)}
}

func removal(id string) galenastair.KeyedRecord { return galenastair.KeyedRecord{Key: id} }

// The leader's contact with the store breaks for a moment, and for seconds it does not pass
// on that a backend server is gone.
func TestRemovalIsToldWhileTheLeaderRegainsTheStore(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	leader, other := newRegistrations(), newRegistrations()
	for _, r := range []*registrations{leader, other} {
		r.read(now, 0, true, registration("e1", 1), registration("e2", 1))
	}
	leader.loseStore(t)
	leader.read(now, 2, false, removal("e1"), registration("e2", 2))
	other.learn(t, now.Add(300*time.Millisecond), leader)
	is.True(!other.used["e1"])
	is.True(other.used["e2"])
}

// An entry expires and comes back while the leader waits for that; an instance that has read
// the expiry itself is not told that the server is there again.
func TestReturnIsToldAfterAnExpiryThatTheLeaderWaitedOut(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	leader, other := newRegistrations(), newRegistrations()
	for _, r := range []*registrations{leader, other} {
		r.read(now, 0, true, registration("e1", 1))
	}
	leader.loseStore(t)
	leader.read(now, 1, false, removal("e1"))
	other.read(now, 1, false, removal("e1"))
	is.True(!other.used["e1"])
	leader.read(now.Add(time.Second), 2, false, registration("e1", 2))
	other.learn(t, now.Add(time.Second), leader)
	is.True(other.used["e1"])
}

// inTouch is how long after an outage the platform's bounds hold again.
const inTouch = 3 * time.Second

// A server is gone while the store turns some instances away. They go on using it for longer
// than the time after which they count as in touch again.
func TestRemovalDuringAnOutageIsInForceOnceInTouch(t *testing.T) {
	is := is.New(t)
	store := metastore.New()
	h := httptest.NewServer(store.Handler())
	defer h.Close()
	store.Put(string(platform.RegistrationTopic), "e1", registration("e1", 1).Value)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	removed := make(chan time.Time, 16)
	used := make(chan bool, cap(removed))
	var ended sync.WaitGroup
	for range cap(removed) {
		s := newServers(log.NewNopLogger())
		s.set = func(pool.Server) { used <- true }
		s.remove = func(galenastair.BackendServerID) { removed <- time.Now() }
		s.follower = follow.New(platform.NewStore(h.Listener.Addr().String()), platform.RegistrationTopic, s.apply, follow.WithWait(leaderWait))
		ended.Go(func() { _ = s.run(ctx) })
		ended.Go(func() { _ = s.follower.Run(ctx) })
		time.Sleep(30 * time.Millisecond)
	}
	for range cap(used) {
		<-used
	}
	store.Switch(func(sw *metastore.Switches) { sw.Refuse = true })
	time.Sleep(1500 * time.Millisecond)
	store.Put(string(platform.RegistrationTopic), "e1", nil)
	store.Switch(func(sw *metastore.Switches) { sw.Refuse = false })
	returned := time.Now()
	for range cap(removed) {
		is.True((<-removed).Sub(returned) < inTouch)
	}
	cancel()
	ended.Wait()
}
