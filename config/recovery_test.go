package config

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"galenastair"
)

// fakePeers responds like a peer with the given follower.
type fakePeers struct{ follower *Follower }

func (p fakePeers) Members() []Peer { return []Peer{{ID: "other", AvailabilityZone: "z1"}} }

func (p fakePeers) ReadRecords(_ context.Context, _ galenastair.Stream, from galenastair.Offset) []PeerResponse {
	b, err := p.follower.ReadRecords(from)
	if err != nil {
		return nil
	}
	return []PeerResponse{{Peer: p.Members()[0], Batch: b, LogAge: p.follower.LogAge()}}
}

func (p fakePeers) FetchSnapshot(context.Context, galenastair.Stream, Peer) ([]byte, error) {
	return p.follower.FetchSnapshot()
}

// publishContracts publishes contracts of organisations O1 to On.
func publishContracts(l *fakeLog, n int) {
	for i := 1; i <= n; i++ {
		c := testContract(galenastair.Organisation(fmt.Sprint("O", i)), testKey(i))
		l.add(testRecord(galenastair.RecordID(fmt.Sprint("c", i)), KindContractPublished, ContractPublished{Contract: c}))
	}
}

// All records before the last snapshot have expired when an instance is replaced. Without
// the snapshot, the new instance would reject valid keys or never become ready.
// Fails if restoreFromSnapshot restores nothing, or if a slice of the snapshot is not
// sorted.
func TestStartFromSnapshotAfterExpiry(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	l := newFakeLog()
	publishContracts(l, 500)
	old := NewFollower(l)
	startFollower(t, old)
	is.NoErr(appendSnapshot(ctx, l, waitForView(t, old, 501), "leader"))
	for i := range 300 {
		l.add(testRecord(galenastair.RecordID(fmt.Sprint("w", i)), KindKeyWithdrawn, KeyWithdrawn{KeyHash: testKey(i)}))
	}
	is.NoErr(appendSnapshot(ctx, l, waitForView(t, old, l.next()), "leader"))
	l.add(testRecord("x", KindKeyWithdrawn, KeyWithdrawn{KeyHash: testKey(400)}))
	l.expire(700)
	want := waitForView(t, old, l.next())
	fresh := NewFollower(l)
	startFollower(t, fresh)
	got := waitForView(t, fresh, l.next())
	is.Equal(got.Digest(), want.Digest())
	is.Equal(got.Snapshot(), want.Snapshot())
	k, _ := got.LookupKey(testKey(7))
	is.True(k.Withdrawn)
}

// Records have expired without a snapshot that covers them, or the log was reset. The
// instance must return an error, keep its view and not read the same records repeatedly.
// Fails if restoreFromSnapshot ignores the result of installIfNewer, or if read ignores the
// end of the log.
func TestUnrecoverableLog(t *testing.T) {
	is := is.New(t)
	l := newFakeLog()
	publishContracts(l, 5)
	f := NewFollower(l)
	is.NoErr(f.poll(t.Context()))
	is.NoErr(appendSnapshot(t.Context(), l, f.View(), "leader"))
	l.add(testRecord("x", KindKeyWithdrawn, KeyWithdrawn{KeyHash: testKey(1)}))
	l.records, l.first = nil, 9
	is.NoErr(appendSnapshot(t.Context(), l, f.View(), "leader"))
	is.True(errors.Is(f.poll(t.Context()), ErrNoSnapshot))
	l.records, l.first = nil, 1
	is.True(errors.Is(f.poll(t.Context()), ErrLogBehind))
	is.Equal(f.View().Offset(), galenastair.Offset(6))
}

// The log goes down right after a withdrawal that only one instance has read. Without
// reads from peers, the other instances would accept the key for the whole outage, and a
// replacement instance would never become ready.
// Fails if readFromPeers or restoreFromPeer does nothing.
func TestCatchUpFromPeersDuringOutage(t *testing.T) {
	is := is.New(t)
	l := newFakeLog()
	publishContracts(l, maxTailRecords+10)
	behind := newFakeLog()
	behind.records = append(behind.records, l.records...)
	ahead := NewFollower(l)
	startFollower(t, ahead)
	lagging := NewFollower(behind, WithPeers(fakePeers{ahead}))
	startFollower(t, lagging)
	waitForView(t, lagging, behind.next())
	behind.setDown(true)
	l.add(testRecord("w", KindKeyWithdrawn, KeyWithdrawn{KeyHash: testKey(1)}))
	waitForView(t, ahead, l.next())
	l.setDown(true)

	k, _ := waitForView(t, lagging, l.next()).LookupKey(testKey(1))
	is.True(k.Withdrawn)
	is.True(len(lagging.tail.records) > 0) // records were read, not a snapshot
	replaced := NewFollower(behind, WithPeers(fakePeers{ahead}))
	startFollower(t, replaced)
	is.Equal(waitForView(t, replaced, l.next()).Snapshot(), ahead.View().Snapshot())
	is.True(replaced.LogContact().IsZero())

	behind.setDown(false)
	is.True(replaced.View().Offset() >= l.next()) // a log that lags does not revert the view
}

// All instances restart while the log is down. With an empty configuration they would
// reject every key as unknown.
// Fails if ReadRecords returns records before the first view.
func TestColdStartDuringOutage(t *testing.T) {
	is := is.New(t)
	l := newFakeLog()
	l.setDown(true)
	a := NewFollower(l)
	b := NewFollower(l, WithPeers(fakePeers{a}))
	b.readFromPeers(context.Background())
	is.True(!b.Ready())
	_, err := a.FetchSnapshot()
	is.True(errors.Is(err, ErrNotCaughtUp))
}

// A leader with a faulty build appends a snapshot that differs. Instances that start from it
// would use other contracts than the rest.
// Fails without the comparison in verifySnapshot, or without those in assemble.
func TestSnapshotMismatch(t *testing.T) {
	is := is.New(t)
	s := &harness{sm: NewStateMachine()}
	s.publish(0, "A", testKey(1))
	other := &harness{sm: NewStateMachine()}
	other.publish(0, "A", testKey(2))
	before := s.sm.Digest()
	right, err := snapshotRecords(s.sm.View(), "leader")
	is.NoErr(err)
	wrong, err := snapshotRecords(other.sm.View(), "faulty")
	is.NoErr(err)
	is.Equal(s.apply(KindSnapshotTaken, wrong[0].Body).Reason, SnapshotMismatch)
	is.Equal(s.apply(KindSnapshotTaken, right[0].Body).Reason, NoReason)
	is.Equal(s.apply(KindSnapshotTaken, SnapshotTaken{Covers: 1, Parts: 1, Data: []byte("x")}).Reason, SnapshotTooOld)
	is.Equal(s.sm.Digest(), before)

	var a snapshotAssembler
	a.add(galenastair.LogRecord{Offset: 2, Data: testRecord("s1", KindSnapshotTaken, right[0].Body)})
	is.Equal(a.newest.Digest(), before)
	other.publish(0, "B")
	wrong, err = snapshotRecords(other.sm.View(), "faulty")
	is.NoErr(err)
	var named, held SnapshotTaken
	is.NoErr(decode(right[0].Body, &named))
	is.NoErr(decode(wrong[0].Body, &held))
	named.Data = held.Data // names the correct digest, but holds another state
	a.add(galenastair.LogRecord{Offset: 3, Data: testRecord("s2", KindSnapshotTaken, named)})
	is.Equal(a.newest.Digest(), before)
	a.add(galenastair.LogRecord{Offset: 4, Data: testRecord("s3", KindSnapshotTaken, held)})
	a.add(galenastair.LogRecord{Offset: 5, Data: testRecord("s4", KindSnapshotTaken, right[0].Body)})
	is.Equal(a.newest.Next(), held.Covers) // an older snapshot that is appended later is not the newest
}

// The response of an append is lost after it took effect. The operator would publish again
// and get a conflict with their own change.
// Fails if append returns the error, or if it retries after any error.
func TestPublishAfterLostResponse(t *testing.T) {
	is := is.New(t)
	l := newFakeLog()
	faults := []appendFault{appendRefused, responseLost, noFault}
	l.fault = func() appendFault { f := faults[0]; faults = faults[1:]; return f }
	p := NewPublisher(l)
	ctx := context.Background()
	r, err := NewRecord(KindContractPublished, "ana", ContractPublished{Contract: testContract("A")})
	is.NoErr(err)
	v, err := p.Publish(ctx, r)
	is.NoErr(err)
	is.Equal(v.Outcome, Accepted)
	is.Equal(l.next(), galenastair.Offset(2)) // appended once
	rival, err := NewRecord(KindContractPublished, "bob", ContractPublished{Contract: testContract("A")})
	is.NoErr(err)
	v, err = p.Publish(ctx, rival)
	is.NoErr(err)
	is.Equal(v.Reason, Conflict)
	is.Equal(v.ExistingChange, Change{Offset: 1, Record: r.ID, Author: "ana"})
}

// The log received the append but writes it minutes later. A command must not report the
// change as not published.
// Fails if awaitResult returns ErrNotPublished at its deadline.
func TestPublishOutcomeUnknown(t *testing.T) {
	is := is.New(t)
	l := newFakeLog()
	l.fault = func() appendFault { return appliedLate }
	p := NewPublisher(l)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	r, err := NewRecord(KindContractPublished, "ana", ContractPublished{Contract: testContract("A")})
	is.NoErr(err)
	_, err = p.Publish(ctx, r)
	is.True(errors.Is(err, ErrPublishUnknown))
	l.releaseDelayed()
	v, err := p.CatchUp(context.Background())
	is.NoErr(err)
	is.Equal(v.LastChange("A").Record, r.ID)
	l.fault = func() appendFault { return appendRefused }
	_, err = p.Publish(ctx, r)
	is.True(errors.Is(err, ErrNotPublished))
}
