package member

import (
	"maps"
	"time"

	"galenastair"
)

// absence is the evidence that members are dead which nobody can declare.
//
// A watcher can declare only while it lives, and waits for the word of earlier
// watchers, which are further along the ring. Two cases stay stuck: the whole
// ring died; or it died right after it had admitted members, which now wait for
// the word of the dead. A member counts as dead for these if it is replaced
// (another process answers at its address), or if it has been silent to this
// instance and absent from the platform's list through Absence of fresh reads.
// Then, in the first case, a joiner starts a fresh ring by a record that any
// renewal makes void; in the second, a watcher waits for that word no longer.
//
// Not covered: members that run on, cut off from the log, the list and this
// instance alike, and that promise each other. The platform's list is what
// speaks for them; it must not drop an instance that still runs, nor give its
// address to another.
type absence struct {
	silent   map[Incarnation]span
	unlisted map[Incarnation]span
	replaced map[Incarnation]bool
	// released holds the members that have said that they act on no promise any more.
	released map[Incarnation]bool
	// gone holds since when an earlier watcher is known to be dead.
	gone     map[Incarnation]time.Time
	probedAt time.Time
	// lost is since when this instance knows that older records have expired unread.
	lost time.Time
}

// span is a time during which something was seen again and again.
type span struct{ from, to time.Time }

func newAbsence() absence {
	return absence{
		silent:   make(map[Incarnation]span),
		unlisted: make(map[Incarnation]span),
		replaced: make(map[Incarnation]bool),
		released: make(map[Incarnation]bool),
		gone:     make(map[Incarnation]time.Time),
	}
}

// maxGap is how many periods apart two readings may be to count as one span.
const maxGap = 3

func (a *absence) answered(inc Incarnation) { delete(a.silent, inc) }

func grow(m map[Incarnation]span, inc Incarnation, now time.Time, gap time.Duration) {
	s, ok := m[inc]
	if !ok || now.Sub(s.to) > gap {
		s.from = now
	}
	s.to = now
	m[inc] = s
}

func (a *absence) dead(inc Incarnation, now time.Time, t Timing) bool {
	if a.replaced[inc] {
		return true
	}
	return a.silent[inc].lasts(now, t) && a.unlisted[inc].lasts(now, t)
}

func (s span) lasts(now time.Time, t Timing) bool {
	return !s.from.IsZero() && now.Sub(s.to) <= maxGap*t.Probe && s.to.Sub(s.from) >= t.Absence
}

// probe asks who answers at the other members' addresses, and what the platform lists.
func (n *Node) probe(now time.Time) {
	if now.Sub(n.absence.probedAt) >= n.timing.Probe {
		n.absence.probedAt = now
		n.probeAll()
	}
}

// forgetGone drops the evidence about members that have left the ring.
func (n *Node) forgetGone() {
	outside := func(inc Incarnation) bool { return n.state.index(inc) < 0 }
	maps.DeleteFunc(n.absence.silent, func(inc Incarnation, _ span) bool { return outside(inc) })
	maps.DeleteFunc(n.absence.unlisted, func(inc Incarnation, _ span) bool { return outside(inc) })
	maps.DeleteFunc(n.absence.replaced, func(inc Incarnation, _ bool) bool { return outside(inc) })
	maps.DeleteFunc(n.absence.released, func(inc Incarnation, _ bool) bool { return outside(inc) })
	maps.DeleteFunc(n.absence.gone, func(inc Incarnation, _ time.Time) bool { return outside(inc) })
	maps.DeleteFunc(n.heard, func(inc Incarnation, _ int64) bool { return outside(inc) })
	maps.DeleteFunc(n.renewed, func(inc Incarnation, _ time.Time) bool { return outside(inc) })
	maps.DeleteFunc(n.promised, func(inc Incarnation, _ time.Time) bool { return outside(inc) })
}

// HistoryLost notes that records have expired unread and that no snapshot covers
// them: members may live that this instance cannot know of. Their leader writes
// a snapshot as soon as it reaches the log, so a fresh ring waits for it.
func (n *Node) HistoryLost(now time.Time) {
	if n.absence.lost.IsZero() {
		n.absence.lost = now
	}
}

func (n *Node) probeAll() {
	for _, m := range n.state.Ring {
		if m.Incarnation != n.self.Incarnation && m.PeerAddress != n.self.PeerAddress {
			n.out = append(n.out, Probe{To: m})
		}
	}
	n.out = append(n.out, ReadList{})
}

func (n *Node) allDead(now time.Time) bool {
	for _, m := range n.state.Ring {
		if m.Incarnation == n.self.Incarnation || m.PeerAddress == n.self.PeerAddress {
			continue
		}
		if !n.absence.dead(m.Incarnation, now, n.timing) {
			return false
		}
	}
	return true
}

// Probed takes the outcome of a probe: the token of the process that answered, or silence.
func (n *Node) Probed(now time.Time, to Member, token string, answered bool) {
	switch {
	case !answered:
		grow(n.absence.silent, to.Incarnation, now, maxGap*n.timing.Probe)
	case token == to.Token:
		n.absence.answered(to.Incarnation)
		delete(n.absence.replaced, to.Incarnation)
		delete(n.absence.gone, to.Incarnation)
	default:
		n.absence.replaced[to.Incarnation] = true
	}
}

// Listed takes a fresh reading of the platform's list.
func (n *Node) Listed(now time.Time, listed []galenastair.ListedInstance) {
	present := make(map[string]bool, len(listed))
	for _, l := range listed {
		if l.Role == galenastair.RoleEntry {
			present[l.ID] = true
		}
	}
	for _, m := range n.state.Ring {
		if present[string(m.ID)] {
			delete(n.absence.unlisted, m.Incarnation)
			delete(n.absence.gone, m.Incarnation)
			continue
		}
		grow(n.absence.unlisted, m.Incarnation, now, maxGap*n.timing.Probe)
	}
}
