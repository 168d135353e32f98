package member

import (
	"time"

	"galenastair"
)

// tickLease asks the watcher for a promise, and turns to the log when it is silent.
func (n *Node) tickLease(now time.Time) {
	if n.stopping {
		if now.Sub(n.askedAt) >= n.timing.Retry {
			n.appendLeave(now)
		}
		return
	}
	if now.Sub(n.beatAt) >= n.timing.Heartbeat {
		n.heartbeat(now)
	}
	silent := now.Sub(n.promisedBy) >= n.timing.Renew
	if silent && !n.lease.alone && now.Sub(n.renewedAt) >= n.timing.Heartbeat {
		n.renew(now)
	}
}

func (n *Node) heartbeat(now time.Time) {
	n.beatAt = now
	if len(n.state.Ring) < 2 {
		return
	}
	watcher, _ := n.state.Watcher(n.self.Incarnation)
	n.out = append(n.out, SendHeartbeat{To: watcher, From: n.self.Incarnation, Sent: now})
}

// renew writes a renewal. It counts from here, not from when it is read back: the
// watcher may have folded it long before this member does.
func (n *Node) renew(now time.Time) {
	n.renewedAt = now
	id := n.append(KindRenew, Renew{Incarnation: n.self.Incarnation})
	for old, sent := range n.renewals {
		if now.Sub(sent) > n.timing.Lease {
			delete(n.renewals, old)
		}
	}
	n.renewals[id] = now
}

func (n *Node) foldRenewal(now time.Time, rec galenastair.Record) {
	if sent, ok := n.renewals[rec.ID]; ok {
		delete(n.renewals, rec.ID)
		if n.rules.renewFromReceipt {
			sent = now
		}
		n.extend(sent)
	}
	inc := renewedBy(rec)
	n.promised[inc] = later(n.promised[inc], now.Add(n.timing.Promise))
	if n.declaring != nil && n.declaring.watched == inc {
		// The lapse in doubt names an older renewal: it can no longer take effect.
		n.declaring = nil
	}
}

// Answered takes the reply to a heartbeat that was sent at a moment of this clock.
// The promise counts from there: the watcher counts from its later reply, so that
// no delay of the network or of this process stretches the lease.
func (n *Node) Answered(now, sent time.Time, from Incarnation, promised bool) {
	if !promised || from != n.self.Incarnation {
		return
	}
	if n.rules.countFromReceipt {
		sent = now
	}
	n.promisedBy = later(n.promisedBy, sent)
	n.extend(sent)
}

func (n *Node) extend(sent time.Time) {
	n.lease.until = later(n.lease.until, sent.Add(n.timing.Lease))
}

// alone says whether this member needs nobody's promise: no other member is in
// the ring, and none can have entered it unknown to this one, since only this
// one admits.
func (n *Node) alone() bool {
	single := n.self.Incarnation != 0 && len(n.state.Ring) == 1
	return single && (n.admitting == nil || n.rules.aloneWithAdmission)
}
