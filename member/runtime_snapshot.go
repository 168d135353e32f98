package member

import (
	"bytes"
	"encoding/json"
	"time"

	"github.com/go-kit/log/level"

	"galenastair"
)

// defaultSnapshotPeriod is far inside any retention time seen so far (hours); a
// snapshot of 53 members is about 17 KB, so that reading it costs 60 B/s.
const defaultSnapshotPeriod = 5 * time.Minute

// snapshotRetry keeps a leader whose appends get lost from flooding the stream.
const snapshotRetry = 10 * time.Second

// snapshots is when the stream last got a snapshot and what it still keeps.
type snapshots struct {
	at      time.Time
	covers  galenastair.Offset
	first   galenastair.Offset
	written time.Time
}

func (s *snapshots) seen(now time.Time, covers galenastair.Offset) {
	s.at = now
	s.covers = max(s.covers, covers)
}

func (s *snapshots) kept(first galenastair.Offset) { s.first = max(s.first, first) }

// due says whether the stream needs a snapshot: periodically, and at once when
// the records after the last one have begun to expire, as after a long outage.
func (s *snapshots) due(now time.Time, period time.Duration) bool {
	if now.Sub(s.written) < min(snapshotRetry, period) {
		return false
	}
	return now.Sub(s.at) >= period || s.covers < s.first
}

// tickSnapshot lets the leader write a snapshot of all folds of the stream.
func (r *Runtime) tickSnapshot(now time.Time) {
	if !r.snapshots.due(now, r.snapshotPeriod) || !r.Status().Leads(now) || !r.node.logFresh(now) {
		return
	}
	r.snapshots.written = now
	body, err := r.snapshot()
	if err != nil {
		_ = level.Error(r.logger).Log("msg", "no snapshot", "err", err)
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
	for _, f := range r.folds {
		if body.Sections[f.Name()], err = f.Snapshot(); err != nil {
			return Snapshot{}, err
		}
	}
	return body, nil
}

// checkSnapshot compares a snapshot with the own fold where nothing has changed
// since. A difference means that two programs fold the stream differently; it is
// told to operators, since neither can know who is right.
func (r *Runtime) checkSnapshot(now time.Time, rec galenastair.LogRecord) {
	snap := decodeSnapshot(rec)
	if snap == nil {
		return
	}
	r.snapshots.seen(now, snap.Covers)
	state := r.node.State()
	own, err := state.Snapshot()
	if err != nil || state.Last > snap.Covers || bytes.Equal(own, snap.Membership) {
		return
	}
	r.metrics.mismatches.Inc()
	_ = level.Error(r.logger).Log("msg", "a snapshot differs from the own fold", "offset", rec.Offset)
}
