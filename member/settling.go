package member

import (
	"maps"
	"slices"
	"time"

	"galenastair"
)

// OwnerFunc returns the member of a ring that owns a role, such as leader or a slot of a key. It
// must depend on nothing but the view.
type OwnerFunc func(View) (Member, bool)

// LeaderOf is the OwnerFunc of the leader role: the member that joined first.
func LeaderOf(v View) (Member, bool) { return v.Leader() }

// SlotOwner returns the OwnerFunc of a slot of a key: the member at that rank for the key.
func SlotOwner(key string, slot int) OwnerFunc {
	return func(v View) (Member, bool) {
		return memberAtRank(v.Ring, key, slot)
	}
}

// watcherOf returns the OwnerFunc of the watch over an incarnation.
func watcherOf(inc Incarnation) OwnerFunc {
	return func(v View) (Member, bool) {
		if len(v.Ring) == 1 {
			return Member{}, false
		}
		return v.Watcher(inc)
	}
}

// ack records that a member has applied an epoch, and when this member learnt of it.
type ack struct {
	epoch galenastair.Epoch
	at    time.Time
}

// ownerHistory decides when a member may act in a role that an earlier ring gave to another member.
//
// Members apply the log at different times, so a previous owner may act on an old ring long after
// a record of the log has moved the role. The same rule holds for every role: in each kept view,
// the owner must have acknowledged the epoch that moved the role away from it, or must have been
// removed from the ring by a record that this member has applied. Then the delay must pass.
//
// This is safe for the following reasons. An owner acts only while it holds its lease and its own
// applied state names it as the owner. Once it has acknowledged the epoch, its state no longer
// names it. If a later epoch names it again, that epoch is either kept here and waited for too, or
// is newer than this member's ring, in which case the owner waits for this member's ack. A Lapse is
// recorded only after the lease has ended, and a Leave only after the member has stopped acting.
// The delay is as long as a grant runs, so grants made just before the ack or the Lapse have ended
// as well. It also covers a pause of up to that length between an owner's check and its action.
//
// A member acknowledges with one number, however many roles it has, so thousands of roles need no
// additional messages.
type ownerHistory struct {
	self  Incarnation
	delay time.Duration
	// views holds the rings whose owners may not all have released their roles, oldest first, and
	// the current one last.
	views []View
	// acks holds, by member, the acks received within the last delay and the newest before that.
	acks map[Incarnation][]ack
	// removedAt holds when this member applied the removal of another.
	removedAt map[Incarnation]time.Time
	// floorEpoch is the epoch that all members must have applied because the rings before it are
	// not known; zero if none. They have been unknown since startedAt.
	floorEpoch galenastair.Epoch
	startedAt  time.Time
	rules      rules
}

// servableSince returns since when this member may act in a role that its current ring gives it.
func (s *ownerHistory) servableSince(ownerOf OwnerFunc) (time.Time, bool) {
	return s.releasedSince(ownerOf, s.delay, nil)
}

// releasedSince returns since when all previous owners of a role have released it, with a given
// delay after each release. It does not wait for the acks of the members in dead, which maps them
// to the time at which they were found dead.
func (s *ownerHistory) releasedSince(ownerOf OwnerFunc, delay time.Duration, dead map[Incarnation]time.Time) (time.Time, bool) {
	ready, ok := s.floorReleasedAt()
	if !ok {
		return ready, false
	}
	for i := 0; i+1 < len(s.views); i++ {
		owner, ok := ownerOf(s.views[i])
		if !ok || owner.Incarnation == s.self {
			continue
		}
		next, ok := ownerOf(s.views[i+1])
		if ok && next.Incarnation == owner.Incarnation {
			continue
		}
		at, ok := s.releasedAt(owner.Incarnation, s.views[i+1])
		if !ok {
			at, ok = dead[owner.Incarnation]
		}
		if !ok {
			return time.Time{}, false
		}
		ready = later(ready, at.Add(delay))
	}
	return ready, true
}

// releasedAt returns when this member learnt that an owner no longer acts on any ring before moved.
func (s *ownerHistory) releasedAt(owner Incarnation, moved View) (time.Time, bool) {
	if at, ok := s.removedAt[owner]; ok {
		return at, true
	}
	if s.rules.takeOverByTimeOnly {
		return s.startedAt, true
	}
	need := moved.Epoch
	if s.rules.acceptAnyAck {
		need = 0
	}
	for _, a := range s.acks[owner] {
		if a.epoch >= need {
			return a.at, true
		}
	}
	return time.Time{}, false
}

// floorReleasedAt covers the rings older than the kept ones. An owner in one of those has either
// acknowledged the oldest kept epoch or left the ring.
func (s *ownerHistory) floorReleasedAt() (time.Time, bool) {
	if s.floorEpoch == 0 {
		return time.Time{}, true
	}
	ready := s.startedAt.Add(s.delay)
	for _, m := range s.views[len(s.views)-1].Ring {
		if m.Incarnation == s.self || galenastair.Epoch(m.Incarnation) >= s.floorEpoch {
			continue
		}
		at, ok := s.releasedAt(m.Incarnation, View{Epoch: s.floorEpoch})
		if !ok {
			return ready, false
		}
		ready = later(ready, at.Add(s.delay))
	}
	return ready, true
}

// newOwnerHistory starts from a state whose earlier history is not known. Members that have been
// removed before count as removed now.
func newOwnerHistory(st *State, delay time.Duration, now time.Time) *ownerHistory {
	s := &ownerHistory{
		delay: delay, views: st.Views(), startedAt: now, rules: st.rules,
		acks: make(map[Incarnation][]ack), removedAt: make(map[Incarnation]time.Time),
	}
	if len(st.Changes) == maxChanges {
		s.floorEpoch = st.Changes[0].Epoch
	}
	for _, v := range s.views {
		for _, m := range v.Ring {
			if st.index(m.Incarnation) < 0 {
				s.removedAt[m.Incarnation] = now
			}
		}
	}
	return s
}

// clone returns a copy for a status. Rings and lists of acks are shared, since they are never modified.
func (s *ownerHistory) clone() *ownerHistory {
	c := *s
	c.views = slices.Clone(s.views)
	c.acks = maps.Clone(s.acks)
	c.removedAt = maps.Clone(s.removedAt)
	return &c
}

// recordAck records that a member has applied an epoch. It reports whether that was unknown.
func (s *ownerHistory) recordAck(inc Incarnation, epoch galenastair.Epoch, now time.Time) bool {
	known := s.acks[inc]
	if len(known) > 0 && known[len(known)-1].epoch >= epoch {
		return false
	}
	kept := make([]ack, 0, len(known)+1)
	for i, a := range known {
		old := i+1 < len(known) && !now.Before(known[i+1].at.Add(s.delay))
		if !old {
			kept = append(kept, a)
		}
	}
	s.acks[inc] = append(kept, ack{epoch, now})
	return true
}

// ackedEpoch returns the newest epoch that a member is known to have applied.
func (s *ownerHistory) ackedEpoch(inc Incarnation) galenastair.Epoch {
	known := s.acks[inc]
	if len(known) == 0 {
		return 0
	}
	return known[len(known)-1].epoch
}

// addView adds a new ring and records which members it no longer has.
func (s *ownerHistory) addView(v View, now time.Time) {
	before := s.views[len(s.views)-1]
	for _, m := range before.Ring {
		if v.index(m.Incarnation) < 0 {
			s.removedAt[m.Incarnation] = now
		}
	}
	s.views = append(s.views, v)
	s.prune(now)
}

// prune drops the views and the floor that every member has released, so that a stable ring keeps one view.
func (s *ownerHistory) prune(now time.Time) {
	if at, ok := s.floorReleasedAt(); ok && !now.Before(at) {
		s.floorEpoch = 0
	}
	for len(s.views) > 1 && s.oldestReleased(now) {
		s.views = s.views[1:]
	}
	for inc, at := range s.removedAt {
		if !s.inAnyView(inc) && !now.Before(at.Add(s.delay)) {
			delete(s.removedAt, inc)
		}
	}
	present := s.views[len(s.views)-1].Epoch
	for inc := range s.acks {
		if galenastair.Epoch(inc) <= present && !s.inAnyView(inc) {
			delete(s.acks, inc)
		}
	}
}

func (s *ownerHistory) oldestReleased(now time.Time) bool {
	for _, m := range s.views[0].Ring {
		if m.Incarnation == s.self {
			continue
		}
		at, ok := s.releasedAt(m.Incarnation, s.views[1])
		if !ok || now.Before(at.Add(s.delay)) {
			return false
		}
	}
	return true
}

func (s *ownerHistory) inAnyView(inc Incarnation) bool {
	for _, v := range s.views {
		if v.index(inc) >= 0 {
			return true
		}
	}
	return false
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
