package member

import (
	"cmp"
	"slices"
	"time"

	"galenastair"
)

// Admission is a member's answer to an instance that wants to join.
type Admission string

// The answers to an instance that wants to join.
const (
	// Admitting says that a record is on its way to the log.
	Admitting Admission = "Admitting"
	// Busy says that this member is in the middle of another change.
	Busy Admission = "Busy"
	// Taken says that an earlier incarnation is still in the ring; its watcher will end it.
	Taken Admission = "Taken"
	// NotHere says that this instance cannot admit anyone now.
	NotHere Admission = "NotHere"
)

// Admit answers an instance that wants to join before this member.
func (n *Node) Admit(now time.Time, joiner Member) Admission {
	if n.stopping || !n.holds(now) || !n.logFresh(now) {
		return NotHere
	}
	if n.state.taken(joiner.ID, joiner.PeerAddress) {
		return Taken
	}
	if n.admitting != nil && n.admitting.joiner.Token == joiner.Token {
		return Admitting
	}
	if n.admitting != nil || n.declaring != nil {
		return Busy
	}
	watched, _ := n.state.Watched(n.self.Incarnation)
	if n.lease.alone && !n.rules.aloneWithAdmission {
		// From here on the ring may hold another member that watches this one and
		// that it does not know: the lease needs renewals until the outcome is read.
		n.lease.alone = false
		n.lease.until = now.Add(n.timing.Lease)
		n.promisedBy = time.Time{}
	}
	n.admitting = n.doubtOf(watched, KindJoin, joinBefore(n.self.Incarnation, watched, joiner))
	n.admitting.joiner = joiner
	n.appendDoubt(now, n.admitting)
	return Admitting
}

func joinBefore(admitter Incarnation, watched, joiner Member) Join {
	return Join{
		ID: joiner.ID, AvailabilityZone: joiner.AvailabilityZone, PeerAddress: joiner.PeerAddress,
		Token: joiner.Token, Admitter: admitter,
		Watched: watched.Incarnation, WatchedSince: watched.WatchedSince,
	}
}

// admitYourself is what a joiner does in the model test when nobody has to admit it.
func (n *Node) admitYourself(before Member) {
	watched, _ := n.state.Watched(before.Incarnation)
	n.append(KindJoin, joinBefore(before.Incarnation, watched, n.self))
}

// admitters orders the members that a joiner may ask: first where its zone mends
// a pair of neighbours in one zone, then where it stands between other zones.
func admitters(v View, joiner Member) []Member {
	type place struct {
		Member
		cost  int
		score uint64
	}
	var places []place
	for _, m := range v.Ring {
		before, _ := v.Watched(m.Incarnation)
		p := place{Member: m, cost: 1, score: score(joiner.Token, "place", string(m.ID))}
		for _, z := range []galenastair.AvailabilityZone{before.AvailabilityZone, m.AvailabilityZone} {
			if z == joiner.AvailabilityZone {
				p.cost++
			}
		}
		if p.cost == 1 && before.AvailabilityZone == m.AvailabilityZone {
			p.cost = 0
		}
		places = append(places, p)
	}
	slices.SortFunc(places, func(a, b place) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.score, b.score))
	})
	out := make([]Member, len(places))
	for i, p := range places {
		out[i] = p.Member
	}
	return out
}

// tickOutside asks for admission, in turn, and collects evidence that all members are dead.
func (n *Node) tickOutside(now time.Time) {
	if n.stopping || !n.logFresh(now) {
		return
	}
	if len(n.state.Ring) == 0 {
		if n.absence.lost.IsZero() || now.Sub(n.absence.lost) >= n.timing.Absence {
			n.found(now)
		}
		return
	}
	if now.Sub(n.askedAt) >= n.timing.Heartbeat {
		n.askedAt = now
		order := admitters(n.state.View, n.self)
		n.out = append(n.out, AskAdmission{To: order[n.attempt%len(order)]})
		if n.rules.admitYourself {
			n.admitYourself(order[n.attempt%len(order)])
		}
	}
	n.probe(now)
	if n.allDead(now) {
		n.found(now)
	}
}

// AdmissionAnswered takes the answer of a member that was asked; one that
// cannot admit now is passed over next time.
func (n *Node) AdmissionAnswered(from Member, a Admission) {
	n.absence.answered(from.Incarnation)
	if a != Admitting {
		n.attempt++
	}
}

// AdmissionFailed notes that a member that was asked did not answer.
func (n *Node) AdmissionFailed() { n.attempt++ }

// found writes the record that starts a ring of this instance alone.
func (n *Node) found(now time.Time) {
	if !n.foundedAt.IsZero() && now.Sub(n.foundedAt) < n.timing.Retry {
		return
	}
	n.foundedAt = now
	n.append(KindFound, Found{
		ID: n.self.ID, AvailabilityZone: n.self.AvailabilityZone, PeerAddress: n.self.PeerAddress,
		Token: n.self.Token, Epoch: n.state.Epoch, Last: n.state.Last,
	})
}
