package member

import (
	"encoding/json"
	"slices"

	"galenastair"
)

// Verdict says what the fold made of a record.
type Verdict string

// The verdicts on a record.
const (
	// Applied says that the record took effect.
	Applied Verdict = "Applied"
	// Void says that the record was judged by the state at its offset and had no effect.
	Void Verdict = "Void"
	// Foreign says that the record is of a kind that membership does not know.
	Foreign Verdict = "Foreign"
)

// keptChanges bounds the changes in a snapshot. A joiner needs them to know who
// served a duty before it; 32 cover an availability zone of 13 members that dies
// and comes back, and cost about 6 KB. A joiner that needs more waits until all
// members have folded the oldest (see settling).
const keptChanges = 32

// Placed is a member and its place in the ring.
type Placed struct {
	Index  int
	Member Member
}

// Change is what one epoch did to the ring.
type Change struct {
	Epoch    galenastair.Epoch
	Removed  []Placed
	Inserted []Placed
}

// State is the fold of the membership records of a control stream; equal records give equal states.
type State struct {
	View
	Fence galenastair.Fence
	// Offset is the last record folded, plus one.
	Offset galenastair.Offset
	// Last is the last record that took effect, renewals included, plus one.
	Last galenastair.Offset
	// Changes holds the newest changes, oldest first.
	Changes []Change

	rules rules
}

// Leader returns who leads, its incarnation and its fencing number; all are zero in an empty ring.
func (s *State) Leader() (galenastair.InstanceID, Incarnation, galenastair.Fence) {
	m, ok := s.View.Leader()
	if !ok {
		return "", 0, 0
	}
	return m.ID, m.Incarnation, s.Fence
}

// Apply folds the record at an offset and says what it did.
func (s *State) Apply(offset galenastair.Offset, rec galenastair.Record) Verdict {
	s.Offset = offset + 1
	verdict := s.judge(offset, rec)
	if verdict == Applied {
		s.Last = offset + 1
	}
	return verdict
}

func (s *State) judge(offset galenastair.Offset, rec galenastair.Record) Verdict {
	switch rec.Kind {
	case KindFound:
		return fold(rec, func(f Found) bool { return s.found(offset, f) })
	case KindJoin:
		return fold(rec, func(j Join) bool { return s.join(offset, j) })
	case KindLeave:
		return fold(rec, func(l Leave) bool { return s.leave(offset, l) })
	case KindLapse:
		return fold(rec, func(l Lapse) bool { return s.lapse(offset, l) })
	case KindRenew:
		return fold(rec, func(r Renew) bool { return s.renew(offset, r) })
	default:
		return Foreign
	}
}

// fold decodes a body; one that cannot be read is void for every reader alike.
func fold[T any](rec galenastair.Record, apply func(T) bool) Verdict {
	var body T
	if err := json.Unmarshal(rec.Body, &body); err != nil {
		return Void
	}
	if !apply(body) {
		return Void
	}
	return Applied
}

// found starts a fresh ring. It names the last record folded by its author, so
// that a renewal or a change by a member thought dead makes it void.
//
// The epoch jumps to the offset: each epoch takes a record, so this is above
// every earlier epoch even if the records that made them have expired.
func (s *State) found(offset galenastair.Offset, f Found) bool {
	if f.Epoch != s.Epoch || f.Last != s.Last {
		return false
	}
	epoch := max(s.Epoch+1, galenastair.Epoch(offset)+1)
	m := Member{
		ID: f.ID, Incarnation: Incarnation(epoch), AvailabilityZone: f.AvailabilityZone,
		PeerAddress: f.PeerAddress, Token: f.Token,
	}
	change := Change{Epoch: epoch, Inserted: []Placed{{Member: m}}}
	for i, old := range s.Ring {
		change.Removed = append(change.Removed, Placed{Index: i, Member: old})
	}
	s.advance(offset, change, []Member{m})
	return true
}

// join inserts a member before its admitter. The record must name the duty that
// the admitter holds at this offset. Without that check a second joiner, or the
// late copy of an admission, would enter unknown to the watcher whose duty it
// takes; a member alone on its ring would go on without a promise beside it.
func (s *State) join(offset galenastair.Offset, j Join) bool {
	at := s.index(j.Admitter)
	if at < 0 || s.taken(j.ID, j.PeerAddress) {
		return false
	}
	watched, _ := s.Watched(j.Admitter)
	current := watched.Incarnation == j.Watched && watched.WatchedSince == j.WatchedSince
	if !current && !s.rules.acceptStaleAdmission {
		return false
	}
	epoch := s.Epoch + 1
	m := Member{
		ID: j.ID, Incarnation: Incarnation(epoch), AvailabilityZone: j.AvailabilityZone,
		PeerAddress: j.PeerAddress, Token: j.Token,
	}
	ring := slices.Insert(slices.Clone(s.Ring), at, m)
	s.advance(offset, Change{Epoch: epoch, Inserted: []Placed{{at, m}}}, ring)
	return true
}

func (s *State) leave(offset galenastair.Offset, l Leave) bool {
	at := s.index(l.Incarnation)
	if at < 0 {
		return false
	}
	s.remove(offset, at)
	return true
}

// lapse removes a member that its present watcher declares. It names the watch
// and the last renewal that the author knew: a newer renewal keeps the member,
// and a late copy of the record finds another watch.
func (s *State) lapse(offset galenastair.Offset, l Lapse) bool {
	at := s.index(l.Incarnation)
	if at < 0 || len(s.Ring) == 1 {
		return false
	}
	m := s.Ring[at]
	watcher, _ := s.Watcher(l.Incarnation)
	if watcher.Incarnation != l.Watcher || m.WatchedSince != l.WatchedSince {
		return false
	}
	if m.Renewal != l.Renewal && !s.rules.lapseOverRenewal {
		return false
	}
	s.remove(offset, at)
	return true
}

func (s *State) renew(offset galenastair.Offset, r Renew) bool {
	at := s.index(r.Incarnation)
	if at < 0 {
		return false
	}
	s.Ring = slices.Clone(s.Ring)
	s.Ring[at].Renewal = offset + 1
	return true
}

func (s *State) remove(offset galenastair.Offset, at int) {
	gone := Placed{at, s.Ring[at]}
	ring := slices.Delete(slices.Clone(s.Ring), at, at+1)
	s.advance(offset, Change{Epoch: s.Epoch + 1, Removed: []Placed{gone}}, ring)
}

// advance makes a changed ring the next epoch; rings are never written in place,
// since statuses share them.
func (s *State) advance(offset galenastair.Offset, c Change, ring []Member) {
	before := s.View
	_, leader, _ := s.Leader()
	s.View = View{Epoch: c.Epoch, Ring: ring}
	for i := range ring {
		watcher := ring[(i+1)%len(ring)].Incarnation
		old, ok := before.Watcher(ring[i].Incarnation)
		if !ok || old.Incarnation != watcher {
			ring[i].WatchedSince = c.Epoch
		}
	}
	if _, now, _ := s.Leader(); now != leader {
		s.Fence = galenastair.Fence(offset)
	}
	s.Changes = append(slices.Clone(s.Changes), c)
	if extra := len(s.Changes) - keptChanges; extra > 0 {
		s.Changes = s.Changes[extra:]
	}
}
