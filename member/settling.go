package member

import (
	"maps"
	"slices"
	"time"

	"galenastair"
)

// Duty names the member that serves something in a given ring; it depends on nothing else.
type Duty func(View) (Member, bool)

// LeaderDuty is the duty of the member that joined first.
func LeaderDuty(v View) (Member, bool) { return v.Leader() }

// SlotDuty is the duty of the member at a place in the ranking for a key.
func SlotDuty(key string, slot int) Duty {
	return func(v View) (Member, bool) {
		return pick(v.Ring, key, slot)
	}
}

// watchDuty is the duty of watching one incarnation.
func watchDuty(inc Incarnation) Duty {
	return func(v View) (Member, bool) {
		if len(v.Ring) == 1 {
			return Member{}, false
		}
		return v.Watcher(inc)
	}
}

// word is the knowledge that a member has folded an epoch, and when it was learnt.
type word struct {
	epoch galenastair.Epoch
	at    time.Time
}

// settling is what one member knows about the members that served a duty before it.
//
// Members fold the log at different times, so an old owner may act on an old
// ring long after a new epoch stands in the log. The rule for every duty alike:
// walk the kept rings; each earlier owner must have folded the epoch that moved
// the duty away from it (its word), or have been removed by a record that this
// member has folded; and then the delay must pass.
//
// Why that is safe: an owner acts only while it holds its lease and its own fold
// still names it. After its word its fold no longer names it, and if a later
// epoch names it again, that epoch is either kept here, and waited for, or newer
// than this member's ring, and then that owner waits for this member's word. A
// lapse is recorded only after the lease has ended; a leave only after the leaver
// has stopped. The delay is the time that a promise runs, so promises given in
// the last moment before the word or the lapse have ended too, and a pause
// between an owner's check and its act is covered up to the same length.
//
// A word is one number for each member, however many duties it has: thousands of
// duties cost no further message.
type settling struct {
	self  Incarnation
	delay time.Duration
	// views holds the rings whose owners may not all be settled, oldest first, and the present one.
	views []View
	// words holds, by member, what was learnt in the last delay and the newest before it.
	words map[Incarnation][]word
	// gone holds when this member folded the end of another.
	gone map[Incarnation]time.Time
	// floor is the epoch that all members must have folded when older rings are
	// not known, and since when they are not.
	floor galenastair.Epoch
	since time.Time
	rules rules
}

// settled returns since when this member may serve a duty that its ring gives it.
func (s *settling) settled(d Duty) (time.Time, bool) {
	return s.settledWithout(d, s.delay, nil)
}

// settledWithout is settled with a delay of its own, and without the word of
// members known to be dead since a moment.
func (s *settling) settledWithout(d Duty, delay time.Duration, dead map[Incarnation]time.Time) (time.Time, bool) {
	ready, ok := s.floorPassed()
	if !ok {
		return ready, false
	}
	for i := 0; i+1 < len(s.views); i++ {
		owner, ok := d(s.views[i])
		if !ok || owner.Incarnation == s.self {
			continue
		}
		next, ok := d(s.views[i+1])
		if ok && next.Incarnation == owner.Incarnation {
			continue
		}
		at, ok := s.released(owner.Incarnation, s.views[i+1])
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

// released returns when this member learnt that an owner no longer acts on a ring before moved.
func (s *settling) released(owner Incarnation, moved View) (time.Time, bool) {
	if at, ok := s.gone[owner]; ok {
		return at, true
	}
	if s.rules.settleByTimeAlone {
		return s.since, true
	}
	need := moved.Epoch
	if s.rules.countAnyWord {
		need = 0
	}
	for _, w := range s.words[owner] {
		if w.epoch >= need {
			return w.at, true
		}
	}
	return time.Time{}, false
}

// floorPassed covers rings older than the kept ones: whoever served a duty in
// one of them has either folded the oldest kept epoch or is gone.
func (s *settling) floorPassed() (time.Time, bool) {
	if s.floor == 0 {
		return time.Time{}, true
	}
	ready := s.since.Add(s.delay)
	for _, m := range s.views[len(s.views)-1].Ring {
		if m.Incarnation == s.self || galenastair.Epoch(m.Incarnation) >= s.floor {
			continue
		}
		at, ok := s.released(m.Incarnation, View{Epoch: s.floor})
		if !ok {
			return ready, false
		}
		ready = later(ready, at.Add(s.delay))
	}
	return ready, true
}

// newSettling starts from a fold whose earlier readings are not known: whoever
// left it did so at now for all that this member knows.
func newSettling(st *State, delay time.Duration, now time.Time) *settling {
	s := &settling{
		delay: delay, views: st.Views(), since: now, rules: st.rules,
		words: make(map[Incarnation][]word), gone: make(map[Incarnation]time.Time),
	}
	if len(st.Changes) == keptChanges {
		s.floor = st.Changes[0].Epoch
	}
	for _, v := range s.views {
		for _, m := range v.Ring {
			if st.index(m.Incarnation) < 0 {
				s.gone[m.Incarnation] = now
			}
		}
	}
	return s
}

// clone returns a copy that a status may keep; rings and word lists are shared, never written.
func (s *settling) clone() *settling {
	c := *s
	c.views = slices.Clone(s.views)
	c.words = maps.Clone(s.words)
	c.gone = maps.Clone(s.gone)
	return &c
}

// noteFolded notes that a member has folded an epoch and says whether that is news.
func (s *settling) noteFolded(inc Incarnation, epoch galenastair.Epoch, now time.Time) bool {
	known := s.words[inc]
	if len(known) > 0 && known[len(known)-1].epoch >= epoch {
		return false
	}
	kept := make([]word, 0, len(known)+1)
	for i, w := range known {
		old := i+1 < len(known) && !now.Before(known[i+1].at.Add(s.delay))
		if !old {
			kept = append(kept, w)
		}
	}
	s.words[inc] = append(kept, word{epoch, now})
	return true
}

// wordOf returns the newest epoch that a member is known to have folded.
func (s *settling) wordOf(inc Incarnation) galenastair.Epoch {
	known := s.words[inc]
	if len(known) == 0 {
		return 0
	}
	return known[len(known)-1].epoch
}

// enter notes a new ring and who left with it.
func (s *settling) enter(v View, now time.Time) {
	before := s.views[len(s.views)-1]
	for _, m := range before.Ring {
		if v.index(m.Incarnation) < 0 {
			s.gone[m.Incarnation] = now
		}
	}
	s.views = append(s.views, v)
	s.prune(now)
}

// prune forgets the rings and floors that every member has passed, so that a steady ring costs one view.
func (s *settling) prune(now time.Time) {
	if at, ok := s.floorPassed(); ok && !now.Before(at) {
		s.floor = 0
	}
	for len(s.views) > 1 && s.passed(now) {
		s.views = s.views[1:]
	}
	for inc, at := range s.gone {
		if !s.named(inc) && !now.Before(at.Add(s.delay)) {
			delete(s.gone, inc)
		}
	}
	present := s.views[len(s.views)-1].Epoch
	for inc := range s.words {
		if galenastair.Epoch(inc) <= present && !s.named(inc) {
			delete(s.words, inc)
		}
	}
}

func (s *settling) passed(now time.Time) bool {
	for _, m := range s.views[0].Ring {
		if m.Incarnation == s.self {
			continue
		}
		at, ok := s.released(m.Incarnation, s.views[1])
		if !ok || now.Before(at.Add(s.delay)) {
			return false
		}
	}
	return true
}

func (s *settling) named(inc Incarnation) bool {
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
