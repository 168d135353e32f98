package config

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Seen failing with the IsZero case of snapshotDue left out.
func TestSnapshotDue(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	is.True(snapshotDue(now, time.Time{}, time.Hour))
	is.True(!snapshotDue(now, now.Add(-14*time.Minute), time.Hour))
	is.True(snapshotDue(now, now.Add(-15*time.Minute), time.Hour))
}

// The log forgets records after a second, while nobody changes anything. An
// instance that starts later would find no contract at all.
// Seen failing with Republish appending nothing, and with noteSnapshot noting nothing (many snapshots).
func TestLeaderRepublishes(t *testing.T) {
	is := is.New(t)
	l := newFakeLog()
	fill(l, 3)
	f := NewFollower(l)
	start(t, f)
	until(t, f, 4)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- f.Republish(ctx, 400*time.Millisecond, "leader", func() bool { return true }) }()
	until(t, f, 6)
	cancel()
	is.True(errors.Is(<-ended, context.Canceled))
	is.True(l.next() < 9) // paced, and not at every check
	l.expire(5)
	fresh := NewFollower(l)
	start(t, fresh)
	is.Equal(until(t, fresh, l.next()).Digest(), f.View().Digest())
}
