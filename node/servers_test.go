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

// serverView is a serverWatcher without a store, with the servers that it has reported.
type serverView struct {
	*serverWatcher
	inUse map[galenastair.BackendServerID]bool
	next  galenastair.Offset
}

func newServerView() *serverView {
	v := &serverView{serverWatcher: newServerWatcher(log.NewNopLogger()), inUse: map[galenastair.BackendServerID]bool{}}
	v.follower = follow.New(nil, platform.RegistrationTopic, nil)
	v.onUpdate = func(s pool.Server) { v.inUse[s.ID] = true }
	v.onRemove = func(id galenastair.BackendServerID) { delete(v.inUse, id) }
	return v
}

// failStoreCall has the follower make one call that the store refuses.
func (v *serverView) failStoreCall(t *testing.T) {
	t.Helper()
	store := metastore.New()
	store.UpdateFaults(func(sw *metastore.Faults) { sw.Refuse = true })
	h := httptest.NewServer(store.Handler())
	defer h.Close()
	v.follower = follow.New(platform.NewStore(h.Listener.Addr().String()), platform.RegistrationTopic, nil)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_ = v.follower.Run(ctx)
}

// applyRecords applies records of the store from an offset on.
func (v *serverView) applyRecords(now time.Time, from galenastair.Offset, snapshot bool, records ...galenastair.KeyedRecord) {
	for i := range records {
		records[i].Offset = from + galenastair.Offset(i)
	}
	end := from + galenastair.Offset(len(records))
	v.applyBatch(now, serverBatch{KeyedBatch: galenastair.KeyedBatch{Records: records, Next: end, End: end}, snapshot: snapshot})
	v.next = end
}

// applyPeerChanges applies the changes that another instance has from this one's offset on.
func (v *serverView) applyPeerChanges(t *testing.T, now time.Time, from *serverView) {
	t.Helper()
	changes, end, ok := from.table.Since(v.next)
	if !ok {
		t.Fatal("Since: the offset has been compacted")
	}
	v.applyBatch(now, serverBatch{KeyedBatch: galenastair.KeyedBatch{Next: end, End: end}, changes: changes})
	v.next = end
}

func registration(id string, heartbeat int) galenastair.KeyedRecord {
	value := fmt.Sprintf(`{"service":"s","address":"10.0.0.1:80","zone":"z","version":"v1","slots":4,"state":"ready","born":1,"sequence":%d}`, heartbeat)
	return galenastair.KeyedRecord{Key: id, Value: []byte(value)}
}

func tombstone(id string) galenastair.KeyedRecord { return galenastair.KeyedRecord{Key: id} }

// The leader must send the removal of a backend server while it defers the removal itself. After
// one failed call to the store, it used to withhold the removal from the others for seconds.
func TestRemovalIsSentWhileLeaderReconnects(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	leader, other := newServerView(), newServerView()
	for _, r := range []*serverView{leader, other} {
		r.applyRecords(now, 0, true, registration("e1", 1), registration("e2", 1))
	}
	leader.failStoreCall(t)
	leader.applyRecords(now, 2, false, tombstone("e1"), registration("e2", 2))
	other.applyPeerChanges(t, now.Add(300*time.Millisecond), leader)
	is.True(!other.inUse["e1"])
	is.True(other.inUse["e2"])
}

// A registration expires and returns while the leader defers the removal. An instance that has
// read the expiry from the store must receive the new registration from the leader.
func TestReregistrationIsSentAfterDeferredRemoval(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	leader, other := newServerView(), newServerView()
	for _, r := range []*serverView{leader, other} {
		r.applyRecords(now, 0, true, registration("e1", 1))
	}
	leader.failStoreCall(t)
	leader.applyRecords(now, 1, false, tombstone("e1"))
	other.applyRecords(now, 1, false, tombstone("e1"))
	is.True(!other.inUse["e1"])
	leader.applyRecords(now.Add(time.Second), 2, false, registration("e1", 2))
	other.applyPeerChanges(t, now.Add(time.Second), leader)
	is.True(other.inUse["e1"])
}

// outageRecoveryTime is the time after an outage at which the platform's bounds apply again.
const outageRecoveryTime = 3 * time.Second

// A server is removed while the store refuses calls. All instances must stop using it within
// outageRecoveryTime after the store's return.
func TestRemovalDuringOutageAppliesAfterReconnect(t *testing.T) {
	is := is.New(t)
	store := metastore.New()
	h := httptest.NewServer(store.Handler())
	defer h.Close()
	store.Put(string(platform.RegistrationTopic), "e1", registration("e1", 1).Value)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	removed := make(chan time.Time, 16)
	updated := make(chan bool, cap(removed))
	var running sync.WaitGroup
	for range cap(removed) {
		s := newServerWatcher(log.NewNopLogger())
		s.onUpdate = func(pool.Server) { updated <- true }
		s.onRemove = func(galenastair.BackendServerID) { removed <- time.Now() }
		s.follower = follow.New(platform.NewStore(h.Listener.Addr().String()), platform.RegistrationTopic, s.apply, follow.WithPollTimeout(leaderPollTimeout))
		running.Go(func() { _ = s.run(ctx) })
		running.Go(func() { _ = s.follower.Run(ctx) })
		time.Sleep(30 * time.Millisecond)
	}
	for range cap(updated) {
		<-updated
	}
	store.UpdateFaults(func(sw *metastore.Faults) { sw.Refuse = true })
	time.Sleep(1500 * time.Millisecond)
	store.Put(string(platform.RegistrationTopic), "e1", nil)
	store.UpdateFaults(func(sw *metastore.Faults) { sw.Refuse = false })
	recovered := time.Now()
	for range cap(removed) {
		is.True((<-removed).Sub(recovered) < outageRecoveryTime)
	}
	cancel()
	running.Wait()
}

// Guards against memory that grows with each backend server whose registration could not be read.
func TestUnreadableRegistrationsAreForgottenWithTheServer(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	v := newServerView()
	v.applyRecords(now, 0, false, galenastair.KeyedRecord{Key: "i-1", Value: []byte("no registration")})
	is.Equal(len(v.undecodable), 1)
	v.applyRecords(now, 1, false, tombstone("i-1"))
	is.Equal(len(v.undecodable)+len(v.offsets), 0)
}

// Guards against an end of a server that instances take for later than it is: the registration may have
// been written some time before it was read. Instances that have it from another one must know it, too.
func TestAnnouncedEndIsKnownToAllInstances(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	const left = 8 * time.Second
	leader, other := newServerView(), newServerView()
	ends := map[*serverView]time.Time{}
	for _, v := range []*serverView{leader, other} {
		v.onUpdate = func(s pool.Server) { ends[v] = s.GoneAt }
		v.applyRecords(now, 0, true, registration("e1", 1))
		is.True(ends[v].IsZero())
	}
	value := `{"service":"s","address":"10.0.0.1:80","zone":"z","version":"v1","slots":4,"state":"draining","leaves-ms":8000,"born":1,"sequence":2}`
	leader.applyRecords(now, 1, false, galenastair.KeyedRecord{Key: "e1", Value: []byte(value)})
	is.Equal(ends[leader], now.Add(left-maxRegistrationAge)) // the store has confirmed nothing yet
	is.Equal(len(leader.pendingEvents[serverEndAnnounced]), 1)
	is.Equal(leader.soonestEnd, left-maxRegistrationAge)
	other.applyPeerChanges(t, now, leader)
	is.Equal(ends[other], ends[leader])
}
