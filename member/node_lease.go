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
	want := n.timing.Outage
	if n.logFresh(now) {
		want = n.timing.Lease
		n.renounce(now)
	}
	n.ask(now, want)
}

// release lets the watcher declare this stopped member as soon as the log answers: in an
// outage the record that it leaves may never be written, and promises run for minutes.
func (n *Node) release(now time.Time) {
	if len(n.state.Ring) > 1 {
		n.ask(now, 0)
	}
}

func (n *Node) ask(now time.Time, want time.Duration) {
	watcher, _ := n.state.Watcher(n.self.Incarnation)
	me, _ := n.state.Find(n.self.Incarnation)
	n.beats++
	n.out = append(n.out, SendHeartbeat{To: watcher, Beat: Heartbeat{
		From: n.self.Incarnation, To: watcher.Incarnation, Number: n.beats, Watch: me.WatchedSince, Sent: now,
		Want: want, Claim: max(0, n.lease.until.Sub(now)),
	}})
}

// renounce gives up what is left of a long promise once the log is back, so that
// a death after the outage is declared as fast as ever.
func (n *Node) renounce(now time.Time) {
	n.renouncedAt = now
	if short := now.Add(n.timing.Lease); n.lease.until.After(short) {
		n.lease.until = short
	}
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
		n.extend(sent, n.timing.Lease)
	}
	inc := renewedBy(rec)
	n.renewed[inc] = later(n.renewed[inc], now.Add(n.timing.Promise))
	if n.declaring != nil && n.declaring.watched == inc {
		// The lapse in doubt names an older renewal: it can no longer take effect.
		n.declaring = nil
	}
}

// Answered takes the reply to a heartbeat that was sent at a moment of this clock.
// The promise counts from there: the watcher counts from its later reply, so that
// no delay of the network or of this process stretches the lease.
//
// Two kinds of answer no longer count: long ones to heartbeats from before a long
// promise was given up, and those of a former watcher, since this member has told
// the new one that it would not count on them. The model did not show a schedule
// that needs the second rule where the first holds; it costs nothing.
func (n *Node) Answered(now time.Time, beat Heartbeat, granted time.Duration) {
	if granted <= 0 || beat.From != n.self.Incarnation {
		return
	}
	if beat.Sent.Before(n.renouncedAt) && granted > n.timing.Lease && !n.rules.keepLongPromise {
		return
	}
	if beat.To != n.watcher {
		return
	}
	sent := beat.Sent
	if n.rules.countFromReceipt {
		sent = now
	}
	n.promisedBy = later(n.promisedBy, sent)
	n.extend(sent, granted)
}

func (n *Node) extend(sent time.Time, granted time.Duration) {
	n.lease.until = later(n.lease.until, sent.Add(granted))
}

// alone says whether this member needs nobody's promise: no other member is in
// the ring, and none can have entered it unknown to this one, since only this
// one admits.
func (n *Node) alone() bool {
	single := n.self.Incarnation != 0 && len(n.state.Ring) == 1
	return single && (n.admitting == nil || n.rules.aloneWithAdmission)
}
