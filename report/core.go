package report

import (
	"slices"
	"time"

	"galenastair"
)

// Server is an engine in the platform's list of instances.
type Server struct {
	ID      galenastair.BackendServerID
	Address string
}

// Assignment assigns engines to the members that poll them. Members may disagree for a
// short time after a change, but should soon see the same assignment.
type Assignment interface {
	Self() galenastair.Peer
	Members() []galenastair.Peer
	// Epoch changes whenever the members or the pollers do.
	Epoch() galenastair.Epoch
	// Poller returns the member that polls an engine.
	Poller(id galenastair.BackendServerID) (galenastair.Peer, bool)
}

// trackedEngine is this instance's state of one engine.
type trackedEngine struct {
	server Server
	report galenastair.EngineReport
	digest stateDigest
	// measuredAt is when the engine measured the report, by this instance's clock; zero
	// if there is no report yet.
	measuredAt time.Time
	// polledAt is when this instance last started to poll the engine.
	polledAt time.Time
	// missingState is set if an update referred to a state that this instance has not received.
	missingState bool
	// polledLocally is set if this instance is the engine's poller.
	polledLocally  bool
	rowProgress    progress
	columnProgress progress
}

// Tracker holds the latest report of each engine and decides which engines to poll and
// which updates to send. It does no I/O and is not safe for concurrent use.
type Tracker struct {
	servers []Server
	engines map[galenastair.BackendServerID]*trackedEngine
	// byHash maps a hash to nil if it is that of two or more engines; updates of these are
	// ignored, and every instance polls them.
	byHash      map[engineHash]*trackedEngine
	assigned    localAssignment
	lastRoundAt time.Time
	roundCount  int
	// minInterval is the minimum interval of polls and of rounds.
	minInterval time.Duration
}

// NewTracker returns a tracker without engines; minInterval is the minimum interval of
// polls and of rounds.
func NewTracker(minInterval time.Duration) *Tracker { return &Tracker{minInterval: minInterval} }

// SetServers replaces the list of engines.
func (t *Tracker) SetServers(servers []Server) {
	if slices.Equal(servers, t.servers) {
		return
	}
	t.servers = slices.Clone(servers)
	t.assigned.valid = false
	engines := make(map[galenastair.BackendServerID]*trackedEngine, len(servers))
	byHash := make(map[engineHash]*trackedEngine, len(servers))
	for _, s := range servers {
		e, ok := t.engines[s.ID]
		if !ok || e.server != s {
			e = &trackedEngine{server: s}
		}
		engines[s.ID] = e
		h := hashEngine(s.ID)
		if _, shared := byHash[h]; shared {
			byHash[h] = nil
			continue
		}
		byHash[h] = e
	}
	t.engines = engines
	t.byHash = byHash
}

// ApplyReport stores a report that an engine returned. It returns false if the tracker
// has a newer one or does not know the engine.
func (t *Tracker) ApplyReport(now time.Time, id galenastair.BackendServerID, r galenastair.EngineReport) bool {
	e, ok := t.engines[id]
	if !ok || !e.isNewer(now.Add(-r.Age)) {
		return false
	}
	r.BackendServer = id
	e.measuredAt = now.Add(-r.Age)
	e.report = r
	e.digest = digestState(r)
	e.missingState = false
	return true
}

// ApplyMessage applies a message of another instance and returns the reports that it
// updated. Messages may arrive late, more than once and by two routes, so that updates
// older than the known report are dropped. Messages carry the age of a report instead of
// a timestamp, as the clocks of instances are not synchronised.
func (t *Tracker) ApplyMessage(now time.Time, msg Message) []galenastair.EngineReport {
	var out []galenastair.EngineReport
	for _, h := range msg.Unchanged {
		e := t.byHash[h]
		if e == nil || e.measuredAt.IsZero() || !e.isNewer(now.Add(-msg.UnchangedAge)) {
			continue
		}
		e.measuredAt = now.Add(-msg.UnchangedAge)
		out = append(out, e.reportAt(now))
	}
	for _, u := range msg.Updates {
		e := t.byHash[u.Engine]
		if e == nil || !e.isNewer(now.Add(-u.Age)) {
			continue
		}
		if u.State == nil && (e.measuredAt.IsZero() || u.Digest != e.digest) {
			e.missingState = true
			continue
		}
		e.applyUpdate(now, u)
		out = append(out, e.reportAt(now))
	}
	return out
}

// applyUpdate applies an update whose state is in the update or already known.
func (e *trackedEngine) applyUpdate(now time.Time, u EngineUpdate) {
	if u.State != nil {
		e.report = *u.State
		e.report.BackendServer = e.server.ID
		e.digest = u.Digest
		e.missingState = false
	}
	e.measuredAt = now.Add(-u.Age)
	e.report.Running = u.Running
	e.report.Waiting = u.Waiting
}

func (e *trackedEngine) isNewer(at time.Time) bool {
	return e.measuredAt.IsZero() || at.After(e.measuredAt)
}

func (e *trackedEngine) reportAt(now time.Time) galenastair.EngineReport {
	r := e.report
	r.Age = now.Sub(e.measuredAt)
	return r
}
