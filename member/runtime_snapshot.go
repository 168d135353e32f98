package member

import (
	"bytes"
	"encoding/json"
	"time"

	"github.com/go-kit/log/level"

	"galenastair"
)

// defaultSnapshotPeriod is well below the log's retention, which is hours. A snapshot of 53 members
// takes about 17 KB, so that each member reads 60 B/s.
const defaultSnapshotPeriod = 5 * time.Minute

// snapshotRetry limits how often a leader whose appends get lost writes snapshots.
const snapshotRetry = 10 * time.Second

// snapshotTracker tracks the last snapshot in the stream and the first record that is kept.
type snapshotTracker struct {
	seenAt    time.Time
	covers    galenastair.Offset
	first     galenastair.Offset
	writtenAt time.Time
}

func (s *snapshotTracker) observe(now time.Time, covers galenastair.Offset) {
	s.seenAt = now
	s.covers = max(s.covers, covers)
}

func (s *snapshotTracker) setFirst(first galenastair.Offset) { s.first = max(s.first, first) }

// due reports whether a snapshot is needed: periodically, and at once if records after the last
// snapshot have begun to expire, as after a long outage.
func (s *snapshotTracker) due(now time.Time, period time.Duration) bool {
	if now.Sub(s.writtenAt) < min(snapshotRetry, period) {
		return false
	}
	return now.Sub(s.seenAt) >= period || s.covers < s.first
}

// tickSnapshot writes a snapshot of all state machines, if this instance leads and one is due.
func (r *Runtime) tickSnapshot(now time.Time) {
	if !r.snapshots.due(now, r.snapshotPeriod) || !r.Status().Leads(now) || !r.node.logContactRecent(now) {
		return
	}
	r.snapshots.writtenAt = now
	body, err := r.snapshot()
	if err != nil {
		_ = level.Error(r.logger).Log("msg", "cannot encode snapshot", "err", err)
		return
	}
	r.node.append(KindSnapshot, body)
}

func (r *Runtime) snapshot() (Snapshot, error) {
	state := r.node.State()
	raw, err := state.Snapshot()
	if err != nil {
		return Snapshot{}, err
	}
	body := Snapshot{Covers: state.Offset, Membership: raw, Sections: make(map[string]json.RawMessage)}
	for _, f := range r.stateMachines {
		if body.Sections[f.Name()], err = f.Snapshot(); err != nil {
			return Snapshot{}, err
		}
	}
	return body, nil
}

// checkSnapshot compares a snapshot with this instance's own state, if no change has been applied
// since. A difference means that two versions of the program apply the stream differently. It is
// only reported to the operator, since the instance cannot know which one is right.
func (r *Runtime) checkSnapshot(now time.Time, rec galenastair.LogRecord) {
	snap := decodeSnapshot(rec)
	if snap == nil {
		return
	}
	r.snapshots.observe(now, snap.Covers)
	state := r.node.State()
	own, err := state.Snapshot()
	if err != nil || state.LastApplied > snap.Covers || bytes.Equal(own, snap.Membership) {
		return
	}
	r.metrics.mismatches.Inc()
	_ = level.Error(r.logger).Log("msg", "snapshot differs from the local state", "offset", rec.Offset)
}
