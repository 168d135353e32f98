package member

import (
	"encoding/json"
	"time"

	"galenastair"
)

// doubt is a record of this member's duty as watcher whose outcome is not read back.
//
// The log may apply an append long after the answer was lost. The record names
// the watch, so once the fold shows another watch it is void wherever it lands;
// until then it is written again, since one landing makes all copies void.
type doubt struct {
	watched Incarnation
	epoch   galenastair.Epoch
	kind    galenastair.RecordKind
	body    any
	at      time.Time
	// joiner is whom an admission is for.
	joiner Member
	// appended and refused count its copies; when all were refused, no doubt is left.
	appended map[galenastair.RecordID]bool
}

// Handover is what a watcher leaves to the one that took its watch: For is how long the promises to
// the watched member may still run that any watcher gave before the epoch Watch.
type Handover struct {
	Watched Incarnation
	Watch   galenastair.Epoch
	For     time.Duration
}

// handover is one that this member has to give, by its own clock.
type handover struct {
	watched Incarnation
	epoch   galenastair.Epoch
	until   time.Time
}

// handOver notes what to leave to the next watcher. Nothing is left while promises of still earlier
// watchers may run.
func (n *Node) handOver(now time.Time) {
	before := n.watching.watched
	m, ok := n.state.Find(before)
	if !ok || m.WatchedSince == n.watching.epoch || !n.watchSettled(now) && !n.rules.handOverUnsettled {
		return
	}
	n.handed = handover{watched: before, epoch: m.WatchedSince, until: later(n.watching.claimed, n.promised[before])}
	if n.rules.handOverNoPromise {
		n.handed.until = now
	}
}

// Handover returns what this member leaves to the one that took its watch; zero if nothing.
func (n *Node) Handover(now time.Time) Handover {
	return Handover{Watched: n.handed.watched, Watch: n.handed.epoch, For: max(0, n.handed.until.Sub(now))}
}

// TakeOver takes in what the watcher before has left. A member that has died since cannot say it
// itself, and would be waited for as long as any promise may run.
func (n *Node) TakeOver(now time.Time, h Handover) {
	if h.Watched == 0 || h.Watched != n.watching.watched || h.Watch != n.watching.epoch || !n.watching.claimed.IsZero() {
		return
	}
	n.watching.claimed = now.Add(n.stretch(h.For))
}

// takeUpWatch notes since when this member has its present watch.
func (n *Node) takeUpWatch(now time.Time) {
	n.handOver(now)
	watched, ok := n.state.Watched(n.self.Incarnation)
	if !ok {
		n.watching = watch{}
		return
	}
	if n.watching.watched == watched.Incarnation && n.watching.epoch == watched.WatchedSince {
		return
	}
	n.watching = watch{watched: watched.Incarnation, epoch: watched.WatchedSince, since: now}
}

// Promise answers a heartbeat of another member: it binds this member not to
// declare the sender for the time that it returns; zero is no promise.
//
// Only a holder of a lease may promise: one declared lapsed is not waited for by
// the next watcher beyond the time of a promise. None is given while an own lapse
// is in doubt: it would revive a lease that the record may already have ended.
func (n *Node) Promise(now time.Time, beat Heartbeat) time.Duration {
	if beat.Want == 0 {
		n.absence.released[beat.From] = true
		return 0
	}
	if !n.holds(now) && !n.rules.promiseWithoutLease {
		return 0
	}
	if n.stopping || beat.To != n.self.Incarnation || beat.From == beat.To || beat.From != n.watching.watched {
		return 0
	}
	if n.declaring != nil && !n.rules.promiseWhileDeclaring {
		return 0
	}
	n.watching.heard = now
	if n.watching.claimed.IsZero() && beat.Watch == n.watching.epoch {
		n.watching.claimed = now.Add(n.stretch(beat.Claim))
	}
	granted := n.grant(now, beat)
	newest := beat.Number > n.heard[beat.From] || n.rules.trustAnyOrder
	n.heard[beat.From] = max(n.heard[beat.From], beat.Number)
	if newest && beat.Want == n.timing.Lease {
		// The sender has given up every longer promise. One that arrives late tells
		// nothing about the promises given since.
		n.promised[beat.From] = now.Add(n.timing.Promise)
		return granted
	}
	n.promised[beat.From] = later(n.promised[beat.From], now.Add(n.stretch(granted)))
	return granted
}

// grant gives a long promise only while neither side reaches the log: while
// either does, a dead member should be declared soon.
func (n *Node) grant(now time.Time, beat Heartbeat) time.Duration {
	if beat.Want > n.timing.Lease && !n.logFresh(now) {
		return n.timing.Outage
	}
	return n.timing.Lease
}

// stretch adds the margin for drift between two clocks.
func (n *Node) stretch(d time.Duration) time.Duration {
	return time.Duration(float64(d) * float64(n.timing.Promise) / float64(n.timing.Lease))
}

func (n *Node) holds(now time.Time) bool {
	return n.self.Incarnation != 0 && n.lease.holds(now)
}

// tickWatch declares the watched member once nothing that anyone promised it can still run.
func (n *Node) tickWatch(now time.Time) {
	m, ok := n.state.Find(n.watching.watched)
	if !ok || m.Incarnation == n.self.Incarnation || n.declaring != nil || n.stopping {
		return
	}
	ended := n.absence.replaced[m.Incarnation] || n.absence.released[m.Incarnation]
	if !n.logFresh(now) || !ended && !n.promisesEnded(now, m) {
		return
	}
	n.declaring = n.doubtOf(m, KindLapse, Lapse{
		Watcher: n.self.Incarnation, Incarnation: m.Incarnation,
		WatchedSince: m.WatchedSince, Renewal: m.Renewal,
	})
	n.appendDoubt(now, n.declaring)
}

// promisesEnded says whether nobody's promise to the watched member can still run.
//
// Failure: a member is killed in an outage of the log, in which promises run for
// minutes, and its new process waits at the same address. It showed as a region
// without a leader, and models without a copy, for 97 s after the outage. A process
// that answers there under another token ends the wait: the one that had the
// promises has died. One that is only paused still has its address.
func (n *Node) promisesEnded(now time.Time, m Member) bool {
	ended := !now.Before(n.mayDeclare(m.Incarnation)) && n.watchSettled(now)
	if !ended {
		// also a watcher that has just taken over: it waits for what those before
		// it can have promised
		n.probeSilent(now, m)
	}
	return ended
}

// probeSilent asks who answers at the address of a watched member whose
// heartbeats have stopped.
func (n *Node) probeSilent(now time.Time, m Member) {
	silent := now.Sub(later(n.watching.heard, n.watching.since)) > n.timing.Promise
	if !silent || now.Sub(n.watching.probed) < n.timing.Retry {
		return
	}
	n.watching.probed = now
	n.out = append(n.out, Probe{To: m})
}

// mayDeclare leaves a member that this one has just begun to watch the time of a
// promise to find its watcher, and keeps the promises and renewals.
func (n *Node) mayDeclare(inc Incarnation) time.Time {
	begun := n.watching.since.Add(n.timing.Promise)
	return later(later(begun, n.watching.claimed), later(n.promised[inc], n.renewed[inc]))
}

// watchSettled says whether no promise of an earlier watcher can still run. The
// watched member itself may have said how long it acts on them. If it has not, it
// may be dead, or lag and count on an earlier watcher: then the words of the
// earlier watchers must be known, and the longest promise that they can have
// given must end. A member that this one has watched since it joined had none.
func (n *Node) watchSettled(now time.Time) bool {
	if !n.watching.claimed.IsZero() {
		return true
	}
	longest := n.stretch(n.timing.Outage)
	first := n.watching.epoch == galenastair.Epoch(n.watching.watched)
	if first || n.rules.shortTakeover {
		longest = n.timing.Promise
	}
	released := n.watching.released
	return !released.IsZero() && !now.Before(released.Add(longest))
}

// noteReleased notes the first moment at which the words of all earlier watchers are known.
func (n *Node) noteReleased(now time.Time) {
	if n.self.Incarnation == 0 || !n.watching.released.IsZero() {
		return
	}
	at, ok := n.settling.settledWithout(watchDuty(n.watching.watched), 0, n.absence.gone)
	if ok && !now.Before(at) {
		n.watching.released = now
	}
}

// tickStuck collects evidence when the watch waits for the word of an earlier
// watcher that may be dead while its own watcher is dead too.
func (n *Node) tickStuck(now time.Time) {
	m, ok := n.state.Find(n.watching.watched)
	if !ok || m.Incarnation == n.self.Incarnation || n.stopping || !n.logFresh(now) {
		return
	}
	overdue := now.After(n.mayDeclare(m.Incarnation).Add(n.timing.Promise))
	if !overdue || !n.watching.released.IsZero() || n.watchSettled(now) {
		return
	}
	n.probe(now)
	for _, m := range n.state.Ring {
		if n.absence.dead(m.Incarnation, now, n.timing) && n.absence.gone[m.Incarnation].IsZero() {
			n.absence.gone[m.Incarnation] = now
		}
	}
}

func (n *Node) doubtOf(m Member, kind galenastair.RecordKind, body any) *doubt {
	return &doubt{
		watched: m.Incarnation, epoch: m.WatchedSince, kind: kind, body: body,
		appended: make(map[galenastair.RecordID]bool),
	}
}

func (n *Node) appendDoubt(now time.Time, d *doubt) {
	d.at = now
	d.appended[n.append(d.kind, d.body)] = true
}

// tickDoubts writes records without an outcome again while the log answers.
func (n *Node) tickDoubts(now time.Time) {
	if n.overdue(n.admitting, now) && len(n.state.Ring) > 1 {
		// Beside other members a late admission does no harm, and the joiner asks again.
		n.admitting = nil
	}
	for _, d := range []*doubt{n.declaring, n.admitting} {
		if n.overdue(d, now) && n.logFresh(now) {
			n.appendDoubt(now, d)
		}
	}
}

func (n *Node) overdue(d *doubt, now time.Time) bool {
	return d != nil && now.Sub(d.at) >= n.timing.Retry
}

// dropStaleDoubts ends the doubts about a watch that the fold has replaced.
func (n *Node) dropStaleDoubts() {
	watched, ok := n.state.Watched(n.self.Incarnation)
	stale := func(d *doubt) bool {
		return d != nil && (!ok || d.watched != watched.Incarnation || d.epoch != watched.WatchedSince)
	}
	if stale(n.declaring) {
		n.declaring = nil
	}
	if stale(n.admitting) || n.admittedElsewhere() {
		n.admitting = nil
	}
}

func (n *Node) admittedElsewhere() bool {
	d := n.admitting
	return d != nil && len(n.state.Ring) > 1 && n.state.taken(d.joiner.ID, d.joiner.PeerAddress)
}

// AppendRefused notes that an append certainly took no effect.
func (n *Node) AppendRefused(id galenastair.RecordID) {
	delete(n.renewals, id)
	if d := n.declaring; d != nil && d.forget(id) {
		n.declaring = nil
	}
	if d := n.admitting; d != nil && d.forget(id) {
		n.admitting = nil
		n.lease.alone = n.alone()
	}
}

func (d *doubt) forget(id galenastair.RecordID) bool {
	delete(d.appended, id)
	return len(d.appended) == 0
}

func renewedBy(rec galenastair.Record) Incarnation {
	var r Renew
	if err := json.Unmarshal(rec.Body, &r); err != nil {
		return 0
	}
	return r.Incarnation
}
