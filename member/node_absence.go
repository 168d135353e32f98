package member

import (
	"maps"
	"time"

	"galenastair"
)

// deathEvidence collects evidence that members are dead that no watcher can declare lapsed.
//
// Only a living watcher can declare its member lapsed, and it first waits for the acks of earlier
// watchers, which are further along the ring. That fails in two cases: all members have died, or
// they died right after admitting new members, which then wait for the acks of dead members. For
// these cases a member counts as dead if it has been replaced (another process answers at its
// address), or if it was unreachable from this instance and missing from the platform's list in
// all fresh reads for Timing.DeadAfter. In the first case a joining instance then starts a new
// ring, by a record that any renewal invalidates. In the second the watcher stops waiting for
// the acks of the dead members.
//
// Not covered: members that keep running while they are cut off from the log, the platform's list
// and this instance, and grant each other leases. Only the platform's list shows that they run, so
// it must not drop a running instance or give its address to another one.
type deathEvidence struct {
	unreachable map[Incarnation]span
	unlisted    map[Incarnation]span
	replaced    map[Incarnation]bool
	// leaseReleased holds the members that have reported that they no longer act on any lease.
	leaseReleased map[Incarnation]bool
	// deadSince holds since when an earlier watcher is known to be dead.
	deadSince map[Incarnation]time.Time
	probedAt  time.Time
	// historyLostAt is when this instance learnt that records have expired before it read them.
	historyLostAt time.Time
}

// span is a time during which the same observation was made repeatedly.
type span struct{ from, to time.Time }

func newDeathEvidence() deathEvidence {
	return deathEvidence{
		unreachable:   make(map[Incarnation]span),
		unlisted:      make(map[Incarnation]span),
		replaced:      make(map[Incarnation]bool),
		leaseReleased: make(map[Incarnation]bool),
		deadSince:     make(map[Incarnation]time.Time),
	}
}

// maxGapProbes is the longest gap between two observations of the same span, in probe intervals.
const maxGapProbes = 3

func (a *deathEvidence) markReachable(inc Incarnation) { delete(a.unreachable, inc) }

func extendSpan(m map[Incarnation]span, inc Incarnation, now time.Time, gap time.Duration) {
	s, ok := m[inc]
	if !ok || now.Sub(s.to) > gap {
		s.from = now
	}
	s.to = now
	m[inc] = s
}

func (a *deathEvidence) dead(inc Incarnation, now time.Time, t Timing) bool {
	if a.replaced[inc] {
		return true
	}
	return a.unreachable[inc].coversDeadAfter(now, t) && a.unlisted[inc].coversDeadAfter(now, t)
}

func (s span) coversDeadAfter(now time.Time, t Timing) bool {
	return !s.from.IsZero() && now.Sub(s.to) <= maxGapProbes*t.ProbeInterval && s.to.Sub(s.from) >= t.DeadAfter
}

// probeIfDue probes the other members and reads the platform's list, once per probe interval.
func (n *Node) probeIfDue(now time.Time) {
	if now.Sub(n.evidence.probedAt) >= n.timing.ProbeInterval {
		n.evidence.probedAt = now
		n.sendProbes()
	}
}

// dropRemovedMembers drops the data about members that have left the ring.
func (n *Node) dropRemovedMembers() {
	outside := func(inc Incarnation) bool { return n.state.index(inc) < 0 }
	maps.DeleteFunc(n.evidence.unreachable, func(inc Incarnation, _ span) bool { return outside(inc) })
	maps.DeleteFunc(n.evidence.unlisted, func(inc Incarnation, _ span) bool { return outside(inc) })
	maps.DeleteFunc(n.evidence.replaced, func(inc Incarnation, _ bool) bool { return outside(inc) })
	maps.DeleteFunc(n.evidence.leaseReleased, func(inc Incarnation, _ bool) bool { return outside(inc) })
	maps.DeleteFunc(n.evidence.deadSince, func(inc Incarnation, _ time.Time) bool { return outside(inc) })
	maps.DeleteFunc(n.lastSequence, func(inc Incarnation, _ int64) bool { return outside(inc) })
	maps.DeleteFunc(n.renewedUntil, func(inc Incarnation, _ time.Time) bool { return outside(inc) })
	maps.DeleteFunc(n.grantedUntil, func(inc Incarnation, _ time.Time) bool { return outside(inc) })
}

// HandleHistoryLost records that records have expired unread and that no snapshot covers them. The
// ring may have members that this instance does not know of. Their leader writes a snapshot as soon
// as it reaches the log, so this instance waits for one before it starts a new ring.
func (n *Node) HandleHistoryLost(now time.Time) {
	if n.evidence.historyLostAt.IsZero() {
		n.evidence.historyLostAt = now
	}
}

func (n *Node) sendProbes() {
	for _, m := range n.state.Ring {
		if m.Incarnation != n.self.Incarnation && m.PeerAddress != n.self.PeerAddress {
			n.actions = append(n.actions, Probe{To: m})
		}
	}
	n.actions = append(n.actions, ReadList{})
}

func (n *Node) allDead(now time.Time) bool {
	for _, m := range n.state.Ring {
		if m.Incarnation == n.self.Incarnation || m.PeerAddress == n.self.PeerAddress {
			continue
		}
		if !n.evidence.dead(m.Incarnation, now, n.timing) {
			return false
		}
	}
	return true
}

// HandleProbeResult handles the result of a probe: the token of the process that answered, or no answer.
func (n *Node) HandleProbeResult(now time.Time, to Member, token string, answered bool) {
	switch {
	case !answered:
		extendSpan(n.evidence.unreachable, to.Incarnation, now, maxGapProbes*n.timing.ProbeInterval)
	case token == to.Token:
		n.evidence.markReachable(to.Incarnation)
		delete(n.evidence.replaced, to.Incarnation)
		delete(n.evidence.deadSince, to.Incarnation)
	default:
		n.evidence.replaced[to.Incarnation] = true
	}
}

// HandleInstanceList handles a fresh read of the platform's list.
func (n *Node) HandleInstanceList(now time.Time, listed []galenastair.ListedInstance) {
	present := make(map[string]bool, len(listed))
	for _, l := range listed {
		if l.Role == galenastair.RoleEntry {
			present[l.ID] = true
		}
	}
	for _, m := range n.state.Ring {
		if present[string(m.ID)] {
			delete(n.evidence.unlisted, m.Incarnation)
			delete(n.evidence.deadSince, m.Incarnation)
			continue
		}
		extendSpan(n.evidence.unlisted, m.Incarnation, now, maxGapProbes*n.timing.ProbeInterval)
	}
}
