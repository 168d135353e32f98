package member

import (
	"cmp"
	"slices"
	"time"

	"galenastair"
)

// Admission is a member's reply to an instance that wants to join.
type Admission string

// The replies to an instance that wants to join.
const (
	// AdmissionPending means that the Join record is being appended.
	AdmissionPending Admission = "Admitting"
	// AdmissionBusy means that another change by this member is pending.
	AdmissionBusy Admission = "Busy"
	// AdmissionDuplicate means that an earlier incarnation is still in the ring. Its watcher will
	// declare it lapsed.
	AdmissionDuplicate Admission = "Taken"
	// AdmissionUnavailable means that this instance cannot admit anyone now.
	AdmissionUnavailable Admission = "NotHere"
)

// Admit handles the request of an instance to join the ring before this member.
func (n *Node) Admit(now time.Time, joiner Member) Admission {
	if n.stopping || !n.holdsLease(now) || !n.logContactRecent(now) {
		return AdmissionUnavailable
	}
	if n.state.hasIDOrAddress(joiner.ID, joiner.PeerAddress) {
		return AdmissionDuplicate
	}
	if n.pendingJoin != nil && n.pendingJoin.joiner.Token == joiner.Token {
		return AdmissionPending
	}
	if n.pendingJoin != nil || n.pendingLapse != nil {
		return AdmissionBusy
	}
	watched, _ := n.state.Watched(n.self.Incarnation)
	if n.lease.soleMember && !n.rules.soleMemberWithPendingJoin {
		// The ring may now get a member that watches this one without this one knowing. The
		// lease therefore needs renewals until the outcome of the Join is known.
		n.lease.soleMember = false
		n.lease.until = now.Add(n.timing.LeaseDuration)
		n.lastGrantSent = time.Time{}
	}
	n.pendingJoin = n.newPendingRecord(watched, KindJoin, joinBefore(n.self.Incarnation, watched, joiner))
	n.pendingJoin.joiner = joiner
	n.appendPending(now, n.pendingJoin)
	return AdmissionPending
}

func joinBefore(admitter Incarnation, watched, joiner Member) Join {
	return Join{
		ID: joiner.ID, AvailabilityZone: joiner.AvailabilityZone, PeerAddress: joiner.PeerAddress,
		Token: joiner.Token, Admitter: admitter,
		Watched: watched.Incarnation, WatchedSince: watched.WatchedSince,
	}
}

// admitSelf appends this instance's own Join. Only the model test uses it, to show that it is unsafe.
func (n *Node) admitSelf(before Member) {
	watched, _ := n.state.Watched(before.Incarnation)
	n.append(KindJoin, joinBefore(before.Incarnation, watched, n.self))
}

// admissionOrder orders the members that a joining instance may ask: first those where its zone
// separates two neighbours of one zone, then those where both neighbours are in other zones.
func admissionOrder(v View, joiner Member) []Member {
	type candidate struct {
		Member
		cost  int
		score uint64
	}
	var candidates []candidate
	for _, m := range v.Ring {
		before, _ := v.Watched(m.Incarnation)
		p := candidate{Member: m, cost: 1, score: score(joiner.Token, "place", string(m.ID))}
		for _, z := range []galenastair.AvailabilityZone{before.AvailabilityZone, m.AvailabilityZone} {
			if z == joiner.AvailabilityZone {
				p.cost++
			}
		}
		if p.cost == 1 && before.AvailabilityZone == m.AvailabilityZone {
			p.cost = 0
		}
		candidates = append(candidates, p)
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.score, b.score))
	})
	out := make([]Member, len(candidates))
	for i, p := range candidates {
		out[i] = p.Member
	}
	return out
}

// tickNonMember asks the members for admission in turn and collects evidence that all of them are dead.
func (n *Node) tickNonMember(now time.Time) {
	if n.stopping || !n.logContactRecent(now) {
		return
	}
	if len(n.state.Ring) == 0 {
		if n.evidence.historyLostAt.IsZero() || now.Sub(n.evidence.historyLostAt) >= n.timing.DeadAfter {
			n.bootstrap(now)
		}
		return
	}
	if now.Sub(n.requestedAt) >= n.timing.HeartbeatInterval {
		n.requestedAt = now
		order := admissionOrder(n.state.View, n.self)
		n.actions = append(n.actions, AskAdmission{To: order[n.admitAttempts%len(order)]})
		if n.rules.selfAdmission {
			n.admitSelf(order[n.admitAttempts%len(order)])
		}
	}
	n.probeIfDue(now)
	if n.allDead(now) {
		n.bootstrap(now)
	}
}

// HandleAdmitReply handles the reply of a member that was asked for admission. If it cannot admit
// now, the next member is asked.
func (n *Node) HandleAdmitReply(from Member, a Admission) {
	n.evidence.markReachable(from.Incarnation)
	if a != AdmissionPending {
		n.admitAttempts++
	}
}

// HandleAdmitFailure records that a member that was asked for admission did not answer.
func (n *Node) HandleAdmitFailure() { n.admitAttempts++ }

// bootstrap appends the record that starts a new ring with this instance as its only member.
func (n *Node) bootstrap(now time.Time) {
	if !n.bootstrappedAt.IsZero() && now.Sub(n.bootstrappedAt) < n.timing.AppendRetryInterval {
		return
	}
	n.bootstrappedAt = now
	n.append(KindBootstrap, Bootstrap{
		ID: n.self.ID, AvailabilityZone: n.self.AvailabilityZone, PeerAddress: n.self.PeerAddress,
		Token: n.self.Token, Epoch: n.state.Epoch, Last: n.state.LastApplied,
	})
}
