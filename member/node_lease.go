package member

import (
	"time"

	"galenastair"
)

// tickLease requests a lease from the watcher, or renews through the log while the watcher does not answer.
func (n *Node) tickLease(now time.Time) {
	if n.stopping {
		if now.Sub(n.requestedAt) >= n.timing.AppendRetryInterval {
			n.appendLeave(now)
		}
		return
	}
	if now.Sub(n.heartbeatAt) >= n.timing.HeartbeatInterval {
		n.heartbeat(now)
	}
	silent := now.Sub(n.lastGrantSent) >= n.timing.RenewAfter
	if silent && !n.lease.soleMember && now.Sub(n.renewalSentAt) >= n.timing.HeartbeatInterval {
		n.renew(now)
	}
}

func (n *Node) heartbeat(now time.Time) {
	n.heartbeatAt = now
	if len(n.state.Ring) < 2 {
		return
	}
	requested := n.timing.OutageLeaseDuration
	if n.logContactRecent(now) {
		requested = n.timing.LeaseDuration
		n.shortenLease(now)
	}
	n.requestLease(now, requested)
}

// releaseLease allows the watcher to declare this stopped member lapsed as soon as the log answers.
// During an outage its Leave may never be written, and leases run for minutes.
func (n *Node) releaseLease(now time.Time) {
	if len(n.state.Ring) > 1 {
		n.requestLease(now, 0)
	}
}

func (n *Node) requestLease(now time.Time, requested time.Duration) {
	watcher, _ := n.state.Watcher(n.self.Incarnation)
	me, _ := n.state.Find(n.self.Incarnation)
	n.heartbeatCount++
	n.actions = append(n.actions, SendHeartbeat{To: watcher, Heartbeat: Heartbeat{
		From: n.self.Incarnation, To: watcher.Incarnation, Sequence: n.heartbeatCount, WatchEpoch: me.WatchedSince, Sent: now,
		Requested: requested, LeaseRemaining: max(0, n.lease.until.Sub(now)),
	}})
}

// shortenLease gives up the rest of a long lease once the log is back, so that a member that dies
// after the outage is declared lapsed without delay.
func (n *Node) shortenLease(now time.Time) {
	n.shortenedAt = now
	if short := now.Add(n.timing.LeaseDuration); n.lease.until.After(short) {
		n.lease.until = short
	}
}

// renew appends a renewal. The lease counts from here and not from when the record is read back,
// since the watcher may have applied it long before this member does.
func (n *Node) renew(now time.Time) {
	n.renewalSentAt = now
	id := n.append(KindRenew, Renew{Incarnation: n.self.Incarnation})
	for old, sent := range n.pendingRenewals {
		if now.Sub(sent) > n.timing.LeaseDuration {
			delete(n.pendingRenewals, old)
		}
	}
	n.pendingRenewals[id] = now
}

func (n *Node) applyRenewal(now time.Time, rec galenastair.Record) {
	if sent, ok := n.pendingRenewals[rec.ID]; ok {
		delete(n.pendingRenewals, rec.ID)
		if n.rules.renewalFromReceipt {
			sent = now
		}
		n.extendLease(sent, n.timing.LeaseDuration)
	}
	inc := renewalIncarnation(rec)
	n.renewedUntil[inc] = later(n.renewedUntil[inc], now.Add(n.timing.GrantDuration))
	if n.pendingLapse != nil && n.pendingLapse.watched == inc {
		// The pending Lapse names an older renewal, so it can no longer take effect.
		n.pendingLapse = nil
	}
}

// HandleHeartbeatReply handles the reply to a heartbeat that was sent at a reading of this clock.
// The lease counts from that reading. The watcher counts from its later reply, so a delay of the
// network or of this process cannot extend the lease beyond the grant.
//
// Two kinds of reply are ignored: long grants for heartbeats sent before a long lease was
// shortened, and replies of a former watcher, since this member has told the new one that it does
// not rely on them. The second rule is a precaution; no schedule is known that needs it in addition
// to the first.
func (n *Node) HandleHeartbeatReply(now time.Time, hb Heartbeat, granted time.Duration) {
	if granted <= 0 || hb.From != n.self.Incarnation {
		return
	}
	if hb.Sent.Before(n.shortenedAt) && granted > n.timing.LeaseDuration && !n.rules.acceptOldLongGrant {
		return
	}
	if hb.To != n.watcher {
		return
	}
	sent := hb.Sent
	if n.rules.leaseFromReceipt {
		sent = now
	}
	n.lastGrantSent = later(n.lastGrantSent, sent)
	n.extendLease(sent, granted)
}

func (n *Node) extendLease(sent time.Time, granted time.Duration) {
	n.lease.until = later(n.lease.until, sent.Add(granted))
}

// isSoleMember reports whether this member needs no lease: the ring has no other member, and none
// can have joined unknown to this one, since only this one can admit it.
func (n *Node) isSoleMember() bool {
	single := n.self.Incarnation != 0 && len(n.state.Ring) == 1
	return single && (n.pendingJoin == nil || n.rules.soleMemberWithPendingJoin)
}
