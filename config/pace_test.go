package config

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"galenastair"
)

func TestSnapshotDue(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	is.True(snapshotDue(now, time.Time{}, time.Hour))
	is.True(!snapshotDue(now, now.Add(-14*time.Minute), time.Hour))
	is.True(snapshotDue(now, now.Add(-15*time.Minute), time.Hour))
}

// startSnapshots runs PublishSnapshots until the test ends. Each value received from the
// channel is one check whether a snapshot is due.
func startSnapshots(t *testing.T, f *Follower) <-chan struct{} {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	checks := make(chan struct{})
	isLeader := func() bool {
		select {
		case checks <- struct{}{}:
		case <-ctx.Done():
		}
		return true
	}
	ended := make(chan error, 1)
	go func() { ended <- f.PublishSnapshots(ctx, 16*time.Millisecond, "leader", isLeader) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; !errors.Is(err, context.Canceled) {
			t.Errorf("PublishSnapshots returned %v", err)
		}
	})
	return checks
}

// The configuration does not change for longer than the retention period. An instance that
// starts later would find no contracts at all.
// Fails if PublishSnapshots appends nothing (by timeout), or if recordSnapshotTime records
// nothing.
func TestLeaderAppendsSnapshots(t *testing.T) {
	is := is.New(t)
	l := newFakeLog()
	publishContracts(l, 3)
	clock := &fakeClock{now: time.Now()}
	first, second := NewFollower(l, WithClock(clock)), NewFollower(l, WithClock(clock))
	startFollower(t, first)
	startFollower(t, second)
	waitForView(t, first, 4)
	waitForView(t, second, 4)
	checks := startSnapshots(t, first)
	for range 5 {
		<-checks
	}
	waitForView(t, second, 5)
	is.Equal(l.next(), offsetAfterFourRecords) // one snapshot, not one per check
	checks = startSnapshots(t, second)
	for range 5 {
		<-checks
	}
	is.Equal(l.next(), offsetAfterFourRecords) // the next leader has seen the snapshot
	clock.advance(time.Second)
	for range 3 { // a snapshot found due by the second check is appended before the third
		<-checks
	}
	is.Equal(l.next(), offsetAfterFourRecords+1)

	l.expire(offsetAfterFourRecords)
	fresh := NewFollower(l)
	startFollower(t, fresh)
	is.Equal(waitForView(t, fresh, l.next()).Digest(), first.View().Digest())
}

// A leader whose reads lag does not see its own snapshot yet, and would append one at every
// check.
// Fails if lastAppended is not set.
func TestLaggingLeaderAppendsOneSnapshot(t *testing.T) {
	is := is.New(t)
	l := newFakeLog()
	publishContracts(l, 3)
	f := NewFollower(l, WithClock(&fakeClock{now: time.Now()}))
	is.NoErr(f.poll(t.Context()))
	checks := startSnapshots(t, f)
	for range 5 {
		<-checks
	}
	is.Equal(l.next(), offsetAfterFourRecords)
}

// offsetAfterFourRecords is the next offset after three contracts and one snapshot.
const offsetAfterFourRecords galenastair.Offset = 5

type fakeClock struct {
	mu  sync.Mutex
	now time.Time
}

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
