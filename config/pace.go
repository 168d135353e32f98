package config

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"galenastair"
)

const (
	// snapshotsPerRetention is the number of snapshots that the log holds at a time. With
	// four, three consecutive snapshots can fail, in an outage of three quarters of the
	// retention period, before a replacement instance finds none.
	snapshotsPerRetention = 4
	// checksPerInterval is how often per snapshot interval the leader checks whether a
	// snapshot is due. A new leader is late by at most a sixteenth of the retention period.
	checksPerInterval = 4
)

// snapshotDue reports whether the leader must append a snapshot. last is when a snapshot
// was last seen in the log, or zero if none was seen since this instance started.
//
// The log receives about 4,500 changes a day and drops records after the retention
// period. Without snapshots, an instance that starts later would not know a contract
// whose record has expired. A snapshot is also due when nothing has changed, since
// snapshots expire as well.
func snapshotDue(now, last time.Time, retention time.Duration) bool {
	return now.Sub(last) >= retention/snapshotsPerRetention
}

// PublishSnapshots appends a snapshot of the view whenever one is due and this instance
// is the leader.
//
// It needs no fencing: a second leader appends the same bytes for the same offset.
func (f *Follower) PublishSnapshots(ctx context.Context, retention time.Duration, author string, isLeader func() bool) error {
	tick := time.NewTicker(retention / snapshotsPerRetention / checksPerInterval)
	defer tick.Stop()
	// lastAppended is when this instance last appended a snapshot, which it may not have
	// read back yet
	var lastAppended time.Time
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		v, now := f.view.Load(), f.clock.Now()
		if v == nil || !isLeader() || !snapshotDue(now, later(lastAppended, f.lastSnapshotTime()), retention) {
			continue
		}
		err := appendSnapshot(ctx, f.reader.log, v, author)
		_ = level.Info(f.logger).Log("msg", "configuration snapshot appended", "offset", v.next, "err", err)
		if err == nil {
			lastAppended = now
		}
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (f *Follower) lastSnapshotTime() time.Time {
	if at := f.lastSnapshot.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// recordSnapshotTime records when the last part of a snapshot was read; the leader appends
// parts in order.
func (f *Follower) recordSnapshotTime(rec galenastair.LogRecord, res ApplyResult) {
	if res.Kind != KindSnapshotTaken || res.Reason != NoReason {
		return
	}
	var b SnapshotTaken
	r, err := decodeRecord(rec.Data)
	if err != nil || decode(r.Body, &b) != nil || b.Part != b.Parts-1 {
		return
	}
	now := f.clock.Now()
	f.lastSnapshot.Store(&now)
}
