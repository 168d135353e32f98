package member

import (
	"time"

	"galenastair"
)

// absence is the evidence that every other member of the ring is dead.
//
// A watcher can declare only while it lives, and a declaration may wait for the
// word of members further along the ring; if the whole ring dies, nobody can end
// it by the rules of the ring. Then an instance that reads the log may start a
// fresh ring, if each other member is either replaced (another process answers
// at its address) or has been silent to it and absent from the platform's list
// through Absence of fresh reads, and no renewal came through the log.
//
// Not covered: members that run on, cut off from the log, the list and this
// instance alike, and that promise each other. The platform's list is what
// speaks for them; it must not drop an instance that still runs.
type absence struct {
	silent   map[Incarnation]span
	unlisted map[Incarnation]span
	replaced map[Incarnation]bool
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

// tickAbsence probes all other members while this instance gets neither an
// admission nor a promise, and starts a fresh ring once all are known to be dead.
func (n *Node) tickAbsence(now time.Time) {
	if !n.cutFromRing(now) || !n.logFresh(now) {
		return
	}
	if now.Sub(n.absence.probedAt) >= n.timing.Probe {
		n.absence.probedAt = now
		n.probeAll()
	}
	if n.allDead(now) {
		n.found(now)
	}
}

// HistoryLost notes that records have expired unread and that no snapshot covers
// them: members may live that this instance cannot know of. Their leader writes
// a snapshot as soon as it reaches the log, so a fresh ring waits for it.
func (n *Node) HistoryLost(now time.Time) {
	if n.absence.lost.IsZero() {
		n.absence.lost = now
	}
}

// cutFromRing says whether the ring gives this instance neither a promise nor an admission.
func (n *Node) cutFromRing(now time.Time) bool {
	if n.self.Incarnation == 0 {
		return true
	}
	return len(n.state.Ring) > 1 && !n.stopping && now.Sub(n.promisedBy) > 2*n.timing.Promise
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
			continue
		}
		grow(n.absence.unlisted, m.Incarnation, now, maxGap*n.timing.Probe)
	}
}
