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

// leader runs Republish until the test ends; each value received is one look whether a snapshot is due.
func leader(t *testing.T, f *Follower) <-chan struct{} {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	looks := make(chan struct{})
	leads := func() bool {
		select {
		case looks <- struct{}{}:
		case <-ctx.Done():
		}
		return true
	}
	ended := make(chan error, 1)
	go func() { ended <- f.Republish(ctx, 16*time.Millisecond, "leader", leads) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; !errors.Is(err, context.Canceled) {
			t.Errorf("republishing ended with %v", err)
		}
	})
	return looks
}

// Nobody changes anything for longer than the log keeps records. An instance
// that starts later would find no contract at all.
// Seen failing with Republish appending nothing (times out), and with
// noteSnapshot noting nothing.
func TestLeaderRepublishes(t *testing.T) {
	is := is.New(t)
	l := newFakeLog()
	fill(l, 3)
	clock := &handClock{now: time.Now()}
	first, second := NewFollower(l, WithClock(clock)), NewFollower(l, WithClock(clock))
	start(t, first)
	start(t, second)
	until(t, first, 4)
	until(t, second, 4)
	looks := leader(t, first)
	for range 5 {
		<-looks
	}
	until(t, second, 5)
	is.Equal(l.next(), fourRecords) // one snapshot, and not one for each look
	looks = leader(t, second)
	for range 5 {
		<-looks
	}
	is.Equal(l.next(), fourRecords) // the next leader knows of it
	clock.advance(time.Second)
	for range 3 { // what the second look finds due is appended before the third
		<-looks
	}
	is.Equal(l.next(), fourRecords+1)

	l.expire(fourRecords)
	fresh := NewFollower(l)
	start(t, fresh)
	is.Equal(until(t, fresh, l.next()).Digest(), first.View().Digest())
}

// The leader's own reads lag. It would append its fold at every look.
// Seen failing with own not kept.
func TestLeaderThatLagsAppendsOneSnapshot(t *testing.T) {
	is := is.New(t)
	l := newFakeLog()
	fill(l, 3)
	f := NewFollower(l, WithClock(&handClock{now: time.Now()}))
	is.NoErr(f.step(t.Context()))
	looks := leader(t, f)
	for range 5 {
		<-looks
	}
	is.Equal(l.next(), fourRecords)
}

// fourRecords is the next offset after three contracts and one snapshot.
const fourRecords galenastair.Offset = 5

type handClock struct {
	mu  sync.Mutex
	now time.Time
}

func (c *handClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *handClock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}
