package member

import (
	"encoding/json"
	"time"

	"galenastair"
)

// pendingRecord is a Lapse or Join by this member whose outcome has not been read back yet.
//
// The log may still apply an append long after its answer was lost. The record names the watch, so
// it has no effect once the state shows another watch. Until then it is appended again: the first
// copy that is applied makes all others ineffective.
type pendingRecord struct {
	watched    Incarnation
	epoch      galenastair.Epoch
	kind       galenastair.RecordKind
	body       any
	appendedAt time.Time
	// joiner is the instance to admit, for a Join.
	joiner Member
	// copies holds the appended copies that were not refused. Once all are refused, the record is dropped.
	copies map[galenastair.RecordID]bool
}

// Handover is what a previous watcher tells the next one. Remaining is how long the leases may
// still run that any watcher granted to the watched member before the epoch WatchEpoch.
type Handover struct {
	Watched    Incarnation
	WatchEpoch galenastair.Epoch
	Remaining  time.Duration
}

// outgoingHandover is the handover that this member has to give, by its own clock.
type outgoingHandover struct {
	watched Incarnation
	epoch   galenastair.Epoch
	until   time.Time
}

// prepareHandover prepares the handover to the next watcher. There is none while leases granted by
// earlier watchers may still run.
func (n *Node) prepareHandover(now time.Time) {
	before := n.watching.watched
	m, ok := n.state.Find(before)
	if !ok || m.WatchedSince == n.watching.epoch || !n.priorGrantsExpired(now) && !n.rules.handOverTooEarly {
		return
	}
	n.handover = outgoingHandover{watched: before, epoch: m.WatchedSince, until: later(n.watching.priorLeaseEnd, n.grantedUntil[before])}
	if n.rules.handOverWithoutGrants {
		n.handover.until = now
	}
}

// Handover returns the handover for the member that took over this member's watch; zero if there is none.
func (n *Node) Handover(now time.Time) Handover {
	return Handover{Watched: n.handover.watched, WatchEpoch: n.handover.epoch, Remaining: max(0, n.handover.until.Sub(now))}
}

// HandleHandover handles the handover of the previous watcher. Without it, a watched member that has
// died, and so cannot report its remaining lease, would be waited for as long as the longest lease.
func (n *Node) HandleHandover(now time.Time, h Handover) {
	if h.Watched == 0 || h.Watched != n.watching.watched || h.WatchEpoch != n.watching.epoch || !n.watching.priorLeaseEnd.IsZero() {
		return
	}
	n.watching.priorLeaseEnd = now.Add(n.withDriftMargin(h.Remaining))
}

// beginWatch starts a new watch if the watched member or its epoch has changed.
func (n *Node) beginWatch(now time.Time) {
	n.prepareHandover(now)
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

// HandleHeartbeat handles the heartbeat of another member. It returns the duration of the granted
// lease, during which this member must not declare the sender lapsed; zero means no lease.
//
// Only a member that holds a lease itself may grant one: a member without one may have been declared
// lapsed, and the next watcher waits for its grants no longer than GrantDuration. No lease is
// granted while a Lapse of the sender is pending, since the grant would extend a membership that the
// record may have ended already.
func (n *Node) HandleHeartbeat(now time.Time, hb Heartbeat) time.Duration {
	if hb.Requested == 0 {
		n.evidence.leaseReleased[hb.From] = true
		return 0
	}
	if !n.holdsLease(now) && !n.rules.grantWithoutLease {
		return 0
	}
	if n.stopping || hb.To != n.self.Incarnation || hb.From == hb.To || hb.From != n.watching.watched {
		return 0
	}
	if n.pendingLapse != nil && !n.rules.grantWhileLapsePending {
		return 0
	}
	n.watching.heartbeatAt = now
	if n.watching.priorLeaseEnd.IsZero() && hb.WatchEpoch == n.watching.epoch {
		n.watching.priorLeaseEnd = now.Add(n.withDriftMargin(hb.LeaseRemaining))
	}
	granted := n.grantDuration(now, hb)
	newest := hb.Sequence > n.lastSequence[hb.From] || n.rules.acceptReorderedHeartbeat
	n.lastSequence[hb.From] = max(n.lastSequence[hb.From], hb.Sequence)
	if newest && hb.Requested == n.timing.LeaseDuration {
		// The sender has given up every longer lease. A heartbeat that arrives out of order says
		// nothing about the leases granted since.
		n.grantedUntil[hb.From] = now.Add(n.timing.GrantDuration)
		return granted
	}
	n.grantedUntil[hb.From] = later(n.grantedUntil[hb.From], now.Add(n.withDriftMargin(granted)))
	return granted
}

// grantDuration returns the long duration only if neither side reaches the log. Otherwise a dead
// member could be declared lapsed through the log, and that should not be delayed.
func (n *Node) grantDuration(now time.Time, hb Heartbeat) time.Duration {
	if hb.Requested > n.timing.LeaseDuration && !n.logContactRecent(now) {
		return n.timing.OutageLeaseDuration
	}
	return n.timing.LeaseDuration
}

// withDriftMargin adds the margin for the drift between two clocks.
func (n *Node) withDriftMargin(d time.Duration) time.Duration {
	return time.Duration(float64(d) * float64(n.timing.GrantDuration) / float64(n.timing.LeaseDuration))
}

func (n *Node) holdsLease(now time.Time) bool {
	return n.self.Incarnation != 0 && n.lease.holds(now)
}

// tickWatch declares the watched member lapsed once no lease granted to it can still run.
func (n *Node) tickWatch(now time.Time) {
	m, ok := n.state.Find(n.watching.watched)
	if !ok || m.Incarnation == n.self.Incarnation || n.pendingLapse != nil || n.stopping {
		return
	}
	ended := n.evidence.replaced[m.Incarnation] || n.evidence.leaseReleased[m.Incarnation]
	if !n.logContactRecent(now) || !ended && !n.grantsExpired(now, m) {
		return
	}
	n.pendingLapse = n.newPendingRecord(m, KindLapse, Lapse{
		Watcher: n.self.Incarnation, Incarnation: m.Incarnation,
		WatchedSince: m.WatchedSince, Renewal: m.Renewal,
	})
	n.appendPending(now, n.pendingLapse)
}

// grantsExpired reports whether no lease granted to the watched member can still run.
//
// While leases may run, a silent member is also probed. Its process may have been killed during a
// log outage, when leases run for minutes, and restarted at the same address, where the new process
// waits for admission. Another token at that address shows that the process that held the lease has
// died, while a process that is only paused still has its address. Without the probe, a region had
// no leader, and models had no copy, for 97 s after an outage.
func (n *Node) grantsExpired(now time.Time, m Member) bool {
	ended := !now.Before(n.earliestLapse(m.Incarnation)) && n.priorGrantsExpired(now)
	if !ended {
		// This also applies to a watcher that has just taken over, which waits for the leases
		// that its predecessors may have granted.
		n.probeSilent(now, m)
	}
	return ended
}

// probeSilent probes the address of a watched member whose heartbeats have stopped.
func (n *Node) probeSilent(now time.Time, m Member) {
	silent := now.Sub(later(n.watching.heartbeatAt, n.watching.since)) > n.timing.GrantDuration
	if !silent || now.Sub(n.watching.probedAt) < n.timing.AppendRetryInterval {
		return
	}
	n.watching.probedAt = now
	n.actions = append(n.actions, Probe{To: m})
}

// earliestLapse returns when the member may be declared lapsed at the earliest: after all known
// grants and renewals, and after the member had GrantDuration to find its new watcher.
func (n *Node) earliestLapse(inc Incarnation) time.Time {
	begun := n.watching.since.Add(n.timing.GrantDuration)
	return later(later(begun, n.watching.priorLeaseEnd), later(n.grantedUntil[inc], n.renewedUntil[inc]))
}

// priorGrantsExpired reports whether no lease granted by an earlier watcher can still run. The
// remaining lease may be known from the watched member itself or from a handover. Otherwise the
// member may be dead, or it may lag behind and rely on an earlier watcher. Then all earlier watchers
// must have acknowledged the change, and after that the longest lease that they can have granted
// must have ended. A member that this one has watched since it joined had no earlier watcher.
func (n *Node) priorGrantsExpired(now time.Time) bool {
	if !n.watching.priorLeaseEnd.IsZero() {
		return true
	}
	longest := n.withDriftMargin(n.timing.OutageLeaseDuration)
	first := n.watching.epoch == galenastair.Epoch(n.watching.watched)
	if first || n.rules.takeOverAfterShortGrant {
		longest = n.timing.GrantDuration
	}
	released := n.watching.priorAckedAt
	return !released.IsZero() && !now.Before(released.Add(longest))
}

// notePriorAcks records when all earlier watchers are first known to have acknowledged the change.
func (n *Node) notePriorAcks(now time.Time) {
	if n.self.Incarnation == 0 || !n.watching.priorAckedAt.IsZero() {
		return
	}
	at, ok := n.history.releasedSince(watcherOf(n.watching.watched), 0, n.evidence.deadSince)
	if ok && !now.Before(at) {
		n.watching.priorAckedAt = now
	}
}

// tickStalledWatch collects evidence of death while the watch waits for the ack of an earlier
// watcher that may be dead together with its own watcher.
func (n *Node) tickStalledWatch(now time.Time) {
	m, ok := n.state.Find(n.watching.watched)
	if !ok || m.Incarnation == n.self.Incarnation || n.stopping || !n.logContactRecent(now) {
		return
	}
	overdue := now.After(n.earliestLapse(m.Incarnation).Add(n.timing.GrantDuration))
	if !overdue || !n.watching.priorAckedAt.IsZero() || n.priorGrantsExpired(now) {
		return
	}
	n.probeIfDue(now)
	for _, m := range n.state.Ring {
		if n.evidence.dead(m.Incarnation, now, n.timing) && n.evidence.deadSince[m.Incarnation].IsZero() {
			n.evidence.deadSince[m.Incarnation] = now
		}
	}
}

func (n *Node) newPendingRecord(m Member, kind galenastair.RecordKind, body any) *pendingRecord {
	return &pendingRecord{
		watched: m.Incarnation, epoch: m.WatchedSince, kind: kind, body: body,
		copies: make(map[galenastair.RecordID]bool),
	}
}

func (n *Node) appendPending(now time.Time, p *pendingRecord) {
	p.appendedAt = now
	p.copies[n.append(p.kind, p.body)] = true
}

// retryPending appends pending records again while the log answers.
func (n *Node) retryPending(now time.Time) {
	if n.retryDue(n.pendingJoin, now) && len(n.state.Ring) > 1 {
		// With other members in the ring a late Join does no harm, and the joining instance asks again.
		n.pendingJoin = nil
	}
	for _, p := range []*pendingRecord{n.pendingLapse, n.pendingJoin} {
		if n.retryDue(p, now) && n.logContactRecent(now) {
			n.appendPending(now, p)
		}
	}
}

func (n *Node) retryDue(p *pendingRecord, now time.Time) bool {
	return p != nil && now.Sub(p.appendedAt) >= n.timing.AppendRetryInterval
}

// dropStalePending drops the pending records that name a watch which has changed.
func (n *Node) dropStalePending() {
	watched, ok := n.state.Watched(n.self.Incarnation)
	stale := func(p *pendingRecord) bool {
		return p != nil && (!ok || p.watched != watched.Incarnation || p.epoch != watched.WatchedSince)
	}
	if stale(n.pendingLapse) {
		n.pendingLapse = nil
	}
	if stale(n.pendingJoin) || n.admittedByOther() {
		n.pendingJoin = nil
	}
}

func (n *Node) admittedByOther() bool {
	p := n.pendingJoin
	return p != nil && len(n.state.Ring) > 1 && n.state.hasIDOrAddress(p.joiner.ID, p.joiner.PeerAddress)
}

// HandleAppendRefused records that an append certainly had no effect.
func (n *Node) HandleAppendRefused(id galenastair.RecordID) {
	delete(n.pendingRenewals, id)
	if p := n.pendingLapse; p != nil && p.removeCopy(id) {
		n.pendingLapse = nil
	}
	if p := n.pendingJoin; p != nil && p.removeCopy(id) {
		n.pendingJoin = nil
		n.lease.soleMember = n.isSoleMember()
	}
}

func (p *pendingRecord) removeCopy(id galenastair.RecordID) bool {
	delete(p.copies, id)
	return len(p.copies) == 0
}

func renewalIncarnation(rec galenastair.Record) Incarnation {
	var r Renew
	if err := json.Unmarshal(rec.Body, &r); err != nil {
		return 0
	}
	return r.Incarnation
}
