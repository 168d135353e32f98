package member

import (
	"encoding/json"
	"slices"

	"galenastair"
)

// ApplyResult is the outcome of applying a record to the state.
type ApplyResult string

// The outcomes of applying a record.
const (
	// Applied means that the record took effect.
	Applied ApplyResult = "Applied"
	// NoEffect means that the record cannot be decoded, or is not valid for the state at its offset.
	NoEffect ApplyResult = "Void"
	// UnknownKind means that the record is not a membership record.
	UnknownKind ApplyResult = "Foreign"
)

// maxChanges bounds the changes in a snapshot. A joining instance needs them to know which
// members held a role before it. 32 changes cover an availability zone of 13 members that fails
// and comes back, and take about 6 KB. An instance that needs older ones waits until all members
// have applied the oldest kept change (see ownerHistory.floorReleasedAt).
const maxChanges = 32

// RingEntry is a member and its index in the ring.
type RingEntry struct {
	Index  int
	Member Member
}

// Change is the difference between the rings of two consecutive epochs.
type Change struct {
	Epoch    galenastair.Epoch
	Removed  []RingEntry
	Inserted []RingEntry
}

// State is the result of applying the membership records of a control stream in order. It is
// deterministic: instances that applied the same records have equal states.
type State struct {
	View
	Fence galenastair.Fence
	// Offset is the offset of the last applied record, plus one.
	Offset galenastair.Offset
	// LastApplied is the offset of the last record that took effect, renewals included, plus one.
	LastApplied galenastair.Offset
	// Changes holds the most recent changes, oldest first.
	Changes []Change

	rules rules
}

// Leader returns the leader's id, incarnation and fencing token; all are zero if the ring is empty.
func (s *State) Leader() (galenastair.InstanceID, Incarnation, galenastair.Fence) {
	m, ok := s.View.Leader()
	if !ok {
		return "", 0, 0
	}
	return m.ID, m.Incarnation, s.Fence
}

// Apply applies the record at an offset.
func (s *State) Apply(offset galenastair.Offset, rec galenastair.Record) ApplyResult {
	s.Offset = offset + 1
	result := s.applyByKind(offset, rec)
	if result == Applied {
		s.LastApplied = offset + 1
	}
	return result
}

func (s *State) applyByKind(offset galenastair.Offset, rec galenastair.Record) ApplyResult {
	switch rec.Kind {
	case KindBootstrap:
		return decodeAndApply(rec, func(f Bootstrap) bool { return s.bootstrap(offset, f) })
	case KindJoin:
		return decodeAndApply(rec, func(j Join) bool { return s.join(offset, j) })
	case KindLeave:
		return decodeAndApply(rec, func(l Leave) bool { return s.leave(offset, l) })
	case KindLapse:
		return decodeAndApply(rec, func(l Lapse) bool { return s.lapse(offset, l) })
	case KindRenew:
		return decodeAndApply(rec, func(r Renew) bool { return s.renew(offset, r) })
	default:
		return UnknownKind
	}
}

// decodeAndApply decodes the body of a record and applies it. A body that cannot be decoded has no
// effect, on any instance.
func decodeAndApply[T any](rec galenastair.Record, apply func(T) bool) ApplyResult {
	var body T
	if err := json.Unmarshal(rec.Body, &body); err != nil {
		return NoEffect
	}
	if !apply(body) {
		return NoEffect
	}
	return Applied
}

// bootstrap starts a new ring of one member. The record names the last record that its author has
// applied, so that it has no effect if a member presumed dead has written a renewal or a change
// since.
//
// The new epoch is derived from the offset. Each epoch takes at least one record, so it is higher
// than every earlier epoch, even if the records of those have expired.
func (s *State) bootstrap(offset galenastair.Offset, f Bootstrap) bool {
	if f.Epoch != s.Epoch || f.Last != s.LastApplied {
		return false
	}
	epoch := max(s.Epoch+1, galenastair.Epoch(offset)+1)
	m := Member{
		ID: f.ID, Incarnation: Incarnation(epoch), AvailabilityZone: f.AvailabilityZone,
		PeerAddress: f.PeerAddress, Token: f.Token,
	}
	change := Change{Epoch: epoch, Inserted: []RingEntry{{Member: m}}}
	for i, old := range s.Ring {
		change.Removed = append(change.Removed, RingEntry{Index: i, Member: old})
	}
	s.advance(offset, change, []Member{m})
	return true
}

// join inserts a member before its admitter. The record must name the watch that the admitter has
// at this offset. Without that check a second join, or a delayed copy of one, would insert a member
// that the watcher whose place it takes does not know of, and a sole member would go on acting
// without a lease although the ring has another member.
func (s *State) join(offset galenastair.Offset, j Join) bool {
	at := s.index(j.Admitter)
	if at < 0 || s.hasIDOrAddress(j.ID, j.PeerAddress) {
		return false
	}
	watched, _ := s.Watched(j.Admitter)
	current := watched.Incarnation == j.Watched && watched.WatchedSince == j.WatchedSince
	if !current && !s.rules.acceptStaleJoin {
		return false
	}
	epoch := s.Epoch + 1
	m := Member{
		ID: j.ID, Incarnation: Incarnation(epoch), AvailabilityZone: j.AvailabilityZone,
		PeerAddress: j.PeerAddress, Token: j.Token,
	}
	ring := slices.Insert(slices.Clone(s.Ring), at, m)
	s.advance(offset, Change{Epoch: epoch, Inserted: []RingEntry{{at, m}}}, ring)
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

// lapse removes a member that its current watcher has declared lapsed. The record names the watch
// and the last renewal that its author has applied. A newer renewal keeps the member in the ring,
// and a delayed copy of the record has no effect since the watch has changed by then.
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
	if m.Renewal != l.Renewal && !s.rules.lapseDespiteRenewal {
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
	removed := RingEntry{at, s.Ring[at]}
	ring := slices.Delete(slices.Clone(s.Ring), at, at+1)
	s.advance(offset, Change{Epoch: s.Epoch + 1, Removed: []RingEntry{removed}}, ring)
}

// advance makes a changed ring the next epoch. Published statuses share the rings, so a ring is
// never modified in place.
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
	if extra := len(s.Changes) - maxChanges; extra > 0 {
		s.Changes = s.Changes[extra:]
	}
}
