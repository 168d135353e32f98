package config

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"galenastair"
)

const (
	// snapshotsKept is how many snapshots a log holds at a time. With four, three
	// in a row may fail, in an outage of three quarters of the retention, before a
	// replaced instance finds none.
	snapshotsKept = 4
	// checksPerSnapshot is how often within an interval the leader looks whether
	// one is due, so that a new leader is late by a sixteenth of the retention at most.
	checksPerSnapshot = 4
)

// snapshotDue decides whether the leader republishes its fold; last is when a
// snapshot was last seen in the log, zero if not since this instance started.
//
// Load: 4,500 changes a day, a log that forgets.
// Harm: a contract whose record has expired would be unknown to every instance
// that starts later.
// A snapshot is due also if nothing changed, since it expires itself.
func snapshotDue(now, last time.Time, retention time.Duration) bool {
	return now.Sub(last) >= retention/snapshotsKept
}

// Republish appends a snapshot of the view whenever one is due and this instance leads.
//
// It needs no fence: a second leader appends the same bytes for the same offset.
func (f *Follower) Republish(ctx context.Context, retention time.Duration, author string, leads func() bool) error {
	tick := time.NewTicker(retention / snapshotsKept / checksPerSnapshot)
	defer tick.Stop()
	// own is when this instance last appended one, which it may not have read back yet
	var own time.Time
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		v, now := f.view.Load(), f.clock.Now()
		if v == nil || !leads() || !snapshotDue(now, later(own, f.snapshotSeen()), retention) {
			continue
		}
		err := appendSnapshot(ctx, f.reader.log, v, author)
		_ = level.Info(f.logger).Log("msg", "fold republished", "offset", v.next, "err", err)
		if err == nil {
			own = now
		}
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (f *Follower) snapshotSeen() time.Time {
	if at := f.snapshot.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// noteSnapshot dates a snapshot by its last part: its author appends them in order.
func (f *Follower) noteSnapshot(rec galenastair.LogRecord, v Verdict) {
	if v.Kind != KindSnapshotTaken || v.Reason != NoReason {
		return
	}
	var b SnapshotTaken
	r, err := decodeRecord(rec.Data)
	if err != nil || decode(r.Body, &b) != nil || b.Part != b.Parts-1 {
		return
	}
	now := f.clock.Now()
	f.snapshot.Store(&now)
}
