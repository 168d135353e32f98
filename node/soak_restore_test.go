package node

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"galenastair/standin/metastore"
	"galenastair/standin/replica"
)

// withdrawnKey is a key of the organisation that the soak withdraws.
const withdrawnKey = "withdrawn-key"

// storeCopy is a copy of the store with the time at which it was taken.
type storeCopy struct {
	*metastore.Copy
	at time.Time
}

// restoreSoak restores the store from older copies while servers leave and a key is withdrawn.
type restoreSoak struct {
	*soak
	copies      []storeCopy
	restores    int
	leaves      map[string]time.Time
	withdrawnAt time.Time
}

func newRestoreSoak(t *testing.T, seed uint64) *restoreSoak {
	s := &restoreSoak{soak: newSoakOf(newCluster(t, 4, "e3", "e4", "e5", "e6"), rand.New(rand.NewPCG(seed, 3))), leaves: map[string]time.Time{}}
	s.publish(key, withdrawnKey)
	s.unchanged.Store(true)
	return s
}

// callers sends requests with both keys until the context ends.
func (s *restoreSoak) callers(ctx context.Context) *sync.WaitGroup {
	var callers sync.WaitGroup
	for _, k := range []string{key, key, key, withdrawnKey} {
		callers.Go(func() {
			for ctx.Err() == nil {
				n, id, at := s.pickNode(), newAttemptID(), time.Now()
				s.mu.Lock()
				s.sent[id] = sentRequest{node: n.index, at: at}
				s.mu.Unlock()
				s.attemptBody(id, n.runningNode, "/stream/1", "m1", k, k+id)
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	return &callers
}

// injectFault restores the store, has a server leave, withdraws the key, or fails a node or the store.
func (s *restoreSoak) injectFault() {
	s.copies = append(s.copies, storeCopy{s.store.Copy(), time.Now()})
	switch s.rng.IntN(5) {
	case 0, 1:
		s.restore()
		if s.rng.IntN(2) == 0 {
			time.Sleep(time.Duration(s.rng.IntN(2000)) * time.Millisecond)
			s.leave([]string{"e2", "e3", "e4"}[s.rng.IntN(3)])
			time.Sleep(inTouchAfter + s.nodes[0].settings.Bounds.LeaveTimeout)
		}
	case 2:
		s.leave([]string{"e2", "e3", "e4"}[s.rng.IntN(3)])
	case 3:
		if s.withdrawnAt.IsZero() {
			s.publish(key)
			s.withdrawnAt = time.Now()
		}
	case 4:
		s.failNodeOrStore()
	}
}

// restore has the store be away for a moment and return to a copy of the last seconds. The operator and the
// servers write again what they had written.
func (s *restoreSoak) restore() {
	began := time.Now()
	older := s.copies[s.rng.IntN(len(s.copies))]
	for _, c := range s.copies {
		if began.Sub(older.at) > 5*time.Second {
			older = c
		}
	}
	s.store.UpdateFaults(func(f *metastore.Faults) { f.Refuse = true })
	time.Sleep(time.Duration(200+s.rng.IntN(2000)) * time.Millisecond)
	s.store.Restore(older.Copy)
	if s.withdrawnAt.IsZero() {
		s.publish(key, withdrawnKey)
	} else {
		s.publish(key)
	}
	for id, r := range s.replicas {
		s.store.Put("keyed.servers", id, r.Registration())
	}
	s.store.UpdateFaults(func(f *metastore.Faults) { f.Refuse = false })
	s.outages = append(s.outages, [2]time.Time{began, time.Now()})
	s.restores++
}

func (s *restoreSoak) leave(server string) {
	if _, left := s.leaves[server]; left {
		return
	}
	s.replicas[server].Drain()
	s.store.Put("keyed.servers", server, s.replicas[server].Registration())
	s.leaves[server] = time.Now()
}

// check reports requests that reached leaving servers, or ran with the withdrawn key, after the bounds, and
// nodes that do not serve, or lack a leader, after the last fault.
func (s *restoreSoak) check() {
	bounds := s.nodes[0].settings.Bounds
	for server, r := range s.replicas {
		left, leaves := s.leaves[server]
		for _, run := range r.Runs() {
			if leaves && run.StartedAt.After(left.Add(bounds.LeaveTimeout)) && s.inTouch(nodeIndex(run.Source), run.StartedAt) {
				s.t.Errorf("a request reached %s %v after it had said that it leaves", server, run.StartedAt.Sub(left))
				break
			}
		}
		late := slices.IndexFunc(r.Runs(), func(run replica.Run) bool {
			return strings.HasPrefix(run.Body, withdrawnKey) && !s.withdrawnAt.IsZero() && s.sent[run.ID].at.After(s.withdrawnAt.Add(bounds.KeyLife))
		})
		if late >= 0 {
			s.t.Errorf("%s ran a request with the withdrawn key", server)
		}
	}
	for _, n := range s.running {
		s.waitFor("an accepted stream", func() bool { return s.call(n.runningNode, "/stream/1", "m1", key).status == 200 })
		s.waitFor("a leader that answers", func() bool { return s.hasLeader(n.runningNode) })
	}
	s.t.Logf("%d requests, %d restores, %d leaves, %d outages, %d restarts", len(s.sent), s.restores, len(s.leaves), len(s.outages), len(s.started))
}

// Guards against leaving servers that get requests, withdrawn keys that are accepted and nodes that refuse
// all requests, while the store returns from older copies and nodes fail.
func TestStoreIsRestoredWhileNodesAndStoreFail(t *testing.T) {
	for seed := range uint64(soakSeeds()) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			s := newRestoreSoak(t, seed)
			s.runWith(s.callers, s.injectFault)
			s.check()
		})
	}
}
