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

// takeUpWatch notes since when this member has its present watch.
func (n *Node) takeUpWatch(now time.Time) {
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

// Promise answers a heartbeat of another member: a yes binds this member not to
// declare it for the time of a promise.
//
// Only a holder of a lease may promise: one declared lapsed is not waited for by
// the next watcher beyond the time of a promise. None is given while an own lapse
// is in doubt: it would revive a lease that the record may already have ended.
func (n *Node) Promise(now time.Time, from Incarnation) bool {
	if !n.holds(now) && !n.rules.promiseWithoutLease {
		return false
	}
	if n.stopping || from == n.self.Incarnation || from != n.watching.watched {
		return false
	}
	if n.declaring != nil && !n.rules.promiseWhileDeclaring {
		return false
	}
	n.promised[from] = now.Add(n.timing.Promise)
	return true
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
	if now.Before(n.mayDeclare(m.Incarnation)) || !n.logFresh(now) || !n.watchSettled(now) {
		return
	}
	n.declaring = n.doubtOf(m, KindLapse, Lapse{
		Watcher: n.self.Incarnation, Incarnation: m.Incarnation,
		WatchedSince: m.WatchedSince, Renewal: m.Renewal,
	})
	n.appendDoubt(now, n.declaring)
}

// mayDeclare leaves a member that this one has just begun to watch the time of a
// promise to find its watcher, and keeps the promises given.
func (n *Node) mayDeclare(inc Incarnation) time.Time {
	return later(n.watching.since.Add(n.timing.Promise), n.promised[inc])
}

func (n *Node) watchSettled(now time.Time) bool {
	at, ok := n.settling.settledWithout(watchDuty(n.watching.watched), n.absence.gone)
	return ok && !now.Before(at)
}

// tickStuck collects evidence when the watch waits for the word of an earlier
// watcher that may be dead while its own watcher is dead too.
func (n *Node) tickStuck(now time.Time) {
	m, ok := n.state.Find(n.watching.watched)
	if !ok || m.Incarnation == n.self.Incarnation || n.stopping || !n.logFresh(now) {
		return
	}
	overdue := now.After(n.mayDeclare(m.Incarnation).Add(n.timing.Promise))
	if !overdue || n.watchSettled(now) {
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
