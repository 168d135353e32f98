package report

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"galenastair"
)

const (
	// staleRounds is the number of rounds without an update of an engine after which an
	// instance polls the engine itself. Every engine is sent at least each fourth round.
	staleRounds = 8
	// refreshRounds is the number of rounds after which an unchanged engine is sent again.
	refreshRounds = 4
	// stateSendRounds is the number of rounds in which a changed state is sent, so that
	// the loss of one message does not cause a poll of the engine.
	stateSendRounds = 2
	// maxFallbackPolls is the maximum number of engines with stale reports that are polled
	// at a time. When a poller fails, up to 52 other instances miss its updates at once,
	// and an instance that receives no messages misses all updates.
	maxFallbackPolls = 1
	// maxInitialPolls is the maximum number of engines without any report that are polled
	// at a time. An instance that has just started can then route within seconds; at the
	// target size it reads 400 KB, once.
	maxInitialPolls = 32
	// minLoadChange is the minimum change in requests that is sent.
	minLoadChange = 2
	// minLoadChangeDivisor is the minimum change that is sent, as a divisor of the load last
	// sent: a quarter. Smaller changes rarely affect the choice between two copies.
	minLoadChangeDivisor = 4
)

// Plan has the polls and pushes that are due.
type Plan struct {
	Polls  []Server
	Row    Push
	Column Push
}

// Push is a message and its recipients.
type Push struct {
	To []galenastair.Peer
	Message
}

// progress is what was last sent of an engine to the row or to the column.
type progress struct {
	lastRound      int
	measuredAt     time.Time
	load           int
	waiting        bool
	digest         stateDigest
	stateSendsLeft int
}

// Plan returns the polls and pushes that are due. All entry instances of a region route
// to all its engines; if each instance polled each engine, this would be 14,000 polls per
// interval at 53 instances and 270 engines, 80 times the budget.
func (t *Tracker) Plan(now time.Time, assignment Assignment) Plan {
	t.updateAssignment(assignment)
	interval := max(sendInterval(t.assigned.grid, len(t.engines)), t.minInterval)
	p := Plan{Polls: t.duePolls(now, interval)}
	if !t.roundDue(now, interval) {
		return p
	}
	t.lastRoundAt = now
	t.roundCount++
	p.Row = Push{t.assigned.grid.row, t.buildMessage(now, t.assigned.polled, rowProgressOf)}
	p.Column = Push{t.assigned.grid.column, t.buildMessage(now, t.assigned.rowPolled, columnProgressOf)}
	return p
}

// localAssignment is this instance's part of the assignment in one epoch.
type localAssignment struct {
	valid         bool
	epoch         galenastair.Epoch
	grid          grid
	sortedEngines []*trackedEngine
	polled        []*trackedEngine
	// rowPolled has the engines that this instance or another one of its row polls.
	rowPolled []*trackedEngine
}

// updateAssignment recomputes the local assignment if members, pollers or engines have changed.
func (t *Tracker) updateAssignment(assignment Assignment) {
	if t.assigned.valid && t.assigned.epoch == assignment.Epoch() {
		return
	}
	self := assignment.Self().ID
	s := localAssignment{valid: true, epoch: assignment.Epoch(), grid: newGrid(assignment.Members(), self)}
	s.sortedEngines = slices.Collect(maps.Values(t.engines))
	slices.SortFunc(s.sortedEngines, func(a, b *trackedEngine) int { return cmp.Compare(a.server.ID, b.server.ID) })
	for _, e := range s.sortedEngines {
		poller, ok := assignment.Poller(e.server.ID)
		e.polledLocally = ok && poller.ID == self
		if e.polledLocally {
			s.polled = append(s.polled, e)
		}
		if e.polledLocally || ok && s.grid.inRow(poller.ID) {
			s.rowPolled = append(s.rowPolled, e)
		}
	}
	t.assigned = s
}

// duePolls returns the engines to poll: those assigned to this instance in each interval,
// and a few others whose reports are missing or stale.
func (t *Tracker) duePolls(now time.Time, roundInterval time.Duration) []Server {
	interval := max(pollInterval(len(t.assigned.polled)), t.minInterval)
	fallback, initial := 0, 0
	var polls []Server
	for _, e := range t.assigned.sortedEngines {
		if now.Sub(e.polledAt) < interval && !e.polledAt.IsZero() {
			continue
		}
		switch {
		case e.polledLocally:
		case e.measuredAt.IsZero() && initial < maxInitialPolls:
			initial++
		case e.isStale(now, staleRounds*roundInterval) && fallback < maxFallbackPolls:
			fallback++
		default:
			continue
		}
		e.polledAt = now
		polls = append(polls, e.server)
	}
	return polls
}

// isStale reports whether the updates of an engine have stopped, or refer to a state that
// this instance has not received. This detects a poller or relay that has failed or cannot
// reach this instance, whatever the cause.
func (e *trackedEngine) isStale(now time.Time, maxAge time.Duration) bool {
	return e.missingState || now.Sub(e.measuredAt) > maxAge
}

// roundDue reports whether a round is due: after the interval, or already after the minimum
// interval if a state has changed, so that loaded and unloaded models are known sooner
// than loads.
func (t *Tracker) roundDue(now time.Time, interval time.Duration) bool {
	since := now.Sub(t.lastRoundAt)
	if t.lastRoundAt.IsZero() || since >= interval {
		return true
	}
	if since < t.minInterval {
		return false
	}
	polledChanged := func(e *trackedEngine) bool { return !e.measuredAt.IsZero() && e.digest != e.rowProgress.digest }
	rowPolledChanged := func(e *trackedEngine) bool { return !e.measuredAt.IsZero() && e.digest != e.columnProgress.digest }
	return slices.ContainsFunc(t.assigned.polled, polledChanged) || slices.ContainsFunc(t.assigned.rowPolled, rowPolledChanged)
}

// buildMessage returns the message on some engines for the row or the column.
func (t *Tracker) buildMessage(now time.Time, engines []*trackedEngine, direction func(*trackedEngine) *progress) Message {
	var out Message
	for _, e := range engines {
		p := direction(e)
		switch {
		case e.measuredAt.IsZero():
		case p.needsUpdate(e, t.roundCount):
			out.Updates = append(out.Updates, p.nextUpdate(now, e, t.roundCount))
		case e.measuredAt.After(p.measuredAt):
			// otherwise the report would become stale although the engine responds
			p.measuredAt = e.measuredAt
			out.Unchanged = append(out.Unchanged, hashEngine(e.server.ID))
			out.UnchangedAge = max(out.UnchangedAge, now.Sub(e.measuredAt))
		}
	}
	return out
}

func rowProgressOf(e *trackedEngine) *progress    { return &e.rowProgress }
func columnProgressOf(e *trackedEngine) *progress { return &e.columnProgress }

// needsUpdate reports whether an engine has changed significantly since the last update,
// or is due for a refresh.
func (p *progress) needsUpdate(e *trackedEngine, round int) bool {
	load := e.report.Running + e.report.Waiting
	change := max(load-p.load, p.load-load)
	return p.lastRound == 0 ||
		round-p.lastRound >= refreshRounds ||
		e.digest != p.digest || p.stateSendsLeft > 0 ||
		(e.report.Waiting > 0) != p.waiting ||
		change >= minLoadChange && change*minLoadChangeDivisor >= p.load
}

func (p *progress) nextUpdate(now time.Time, e *trackedEngine, round int) EngineUpdate {
	if p.lastRound == 0 || e.digest != p.digest {
		p.stateSendsLeft = stateSendRounds
	}
	p.lastRound = round
	p.measuredAt = e.measuredAt
	p.load = e.report.Running + e.report.Waiting
	p.waiting = e.report.Waiting > 0
	p.digest = e.digest
	u := EngineUpdate{
		Engine:  hashEngine(e.server.ID),
		Age:     now.Sub(e.measuredAt),
		Running: e.report.Running,
		Waiting: e.report.Waiting,
		Digest:  e.digest,
	}
	if p.stateSendsLeft > 0 {
		p.stateSendsLeft--
		state := e.report
		u.State = &state
	}
	return u
}
