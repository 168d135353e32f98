package member

import (
	"encoding/json"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"

	"galenastair"
)

// largeNode returns a node of a ring of 53 members that has converged.
func largeNode(t testing.TB) *Node {
	s := &State{}
	apply := func(kind galenastair.RecordKind, body any) {
		rec, err := NewRecord("i", kind, body)
		if err != nil || s.Apply(s.Offset, rec) != Applied {
			t.Fatal(kind, err)
		}
	}
	members := testMembers(53, 2)
	for i, m := range members {
		m.PeerAddress, m.Token = "10.0.0.1:"+string(m.ID), "a-token-as-long-as-a-uuid-is-in-text"+string(m.ID)
		if i == 0 {
			apply(KindBootstrap, Bootstrap{ID: m.ID, AvailabilityZone: m.AvailabilityZone, PeerAddress: m.PeerAddress, Token: m.Token})
			continue
		}
		first := s.Ring[len(s.Ring)-1]
		watched, _ := s.Watched(first.Incarnation)
		apply(KindJoin, joinBefore(first.Incarnation, watched, m))
	}
	raw, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	n := NewNode(s.Ring[0], DefaultTiming(), modelStart)
	if err := n.Restore(modelStart, s.Offset, raw); err != nil {
		t.Fatal(err)
	}
	for _, m := range s.Ring {
		n.MergeGossip(modelStart, Gossip{From: m.Incarnation, Applied: s.Epoch, LogAge: -1})
	}
	n.Tick(modelStart.Add(time.Minute))
	return n
}

// A member that restores a snapshot must have the same state as one that applied the records: their
// next snapshots are identical, and the earlier rings can be reconstructed.
func TestSnapshotKeepsStateAndRings(t *testing.T) {
	is := is.New(t)
	n := largeNode(t)
	raw, err := n.State().Snapshot()
	is.NoErr(err)
	var again State
	is.NoErr(again.Restore(n.state.Offset, raw))
	back, err := again.Snapshot()
	is.NoErr(err)
	is.Equal(string(raw), string(back))
	views := again.Views()
	is.Equal(len(views), maxChanges+1)
	is.Equal(len(views[0].Ring), 53-maxChanges)
	is.True(n.Status(modelStart).Converged())
	t.Logf("snapshot of 53 members: %d bytes", len(raw))
}

func TestApplyIgnoresOtherRecords(t *testing.T) {
	is := is.New(t)
	s := &State{}
	is.Equal(s.Apply(1, galenastair.Record{Kind: "Order", Body: json.RawMessage(`{}`)}), UnknownKind)
	is.Equal(s.Apply(2, galenastair.Record{Kind: KindJoin, Body: json.RawMessage(`[`)}), NoEffect)
	is.Equal(s.Offset, galenastair.Offset(3))
	is.Equal(s.LastApplied, galenastair.Offset(0))
}

// BenchmarkStatus measures the status that is published after each heartbeat, at 53 members.
func BenchmarkStatus(b *testing.B) {
	n := largeNode(b)
	b.ReportAllocs()
	for b.Loop() {
		n.Status(modelStart)
	}
}

// BenchmarkNodeMemory reports the heap size of a node at 53 members.
func BenchmarkNodeMemory(b *testing.B) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	nodes := make([]*Node, 0, 100)
	for range 100 {
		nodes = append(nodes, largeNode(b))
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	for b.Loop() {
		runtime.KeepAlive(nodes)
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/100, "B/node")
}
