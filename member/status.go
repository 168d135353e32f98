package member

import (
	"time"

	"galenastair"
)

// Status is an immutable snapshot of what this instance knows about the membership. Request
// handling reads it without going through the control loop.
type Status struct {
	// Self is this instance; its incarnation is zero while it is not a member.
	Self   Member
	View   View
	Leader Member
	Fence  galenastair.Fence
	// Offset is the offset of the last applied record of the control stream, plus one.
	Offset galenastair.Offset
	Fleet  Fleet
	// LogContact is when this instance last read the log to its end; zero if never.
	LogContact time.Time

	lease            lease
	history          *ownerHistory
	logContactMaxAge time.Duration
}

// lease bounds how long this member may act.
type lease struct {
	until time.Time
	// soleMember is set while the ring has no other member, so that no lease is needed.
	soleMember bool
	stopped    bool
}

func (l lease) holds(now time.Time) bool {
	return !l.stopped && (l.soleMember || now.Before(l.until))
}

// HoldsLease reports whether this instance is a member that holds its lease at now.
//
// Check it right before each action that needs the lease. If the process pauses between the check
// and the action, the action can still happen after the lease has ended. The delay of the next
// owner (see ownerHistory) covers pauses of up to Timing.GrantDuration after the end of the lease;
// fencing tokens or claims must cover longer ones.
func (s *Status) HoldsLease(now time.Time) bool {
	return s.Self.Incarnation != 0 && s.lease.holds(now)
}

// LeaseEnds returns when the lease ends; it is zero for a sole member, which needs no lease.
func (s *Status) LeaseEnds() time.Time {
	if s.lease.soleMember {
		return time.Time{}
	}
	return s.lease.until
}

// Owner returns the member that owns a slot of a key in the current ring.
func (s *Status) Owner(key string, slot int) (Member, bool) {
	return SlotOwner(key, slot)(s.View)
}

// Owners returns the owners of the first slots of a key. There are fewer than slots in a smaller ring.
func (s *Status) Owners(key string, slots int) []Member {
	ranked := Rank(s.View.Ring, key)
	return ranked[:min(slots, len(ranked))]
}

// Serves reports whether this instance may serve a slot of a key at now: the current ring gives it
// the slot, its lease runs, and every previous owner has released the slot.
func (s *Status) Serves(key string, slot int, now time.Time) bool {
	return s.ActsAs(SlotOwner(key, slot), now)
}

// ServesSince returns since when this instance may serve a slot of a key, regardless of its lease.
func (s *Status) ServesSince(key string, slot int) (time.Time, bool) {
	return s.actsSince(SlotOwner(key, slot))
}

// Leads reports whether this instance may act as leader at now.
//
// A new leader does not add the delay that covers a paused predecessor. Orders that the predecessor
// sends after it resumes are either refused because of their fencing token, or are in the log and
// taken into account by the new leader (see package ledger). Waiting would leave models that have
// lost their copies without a leader for longer.
func (s *Status) Leads(now time.Time) bool {
	if !s.HoldsLease(now) {
		return false
	}
	owner, ok := LeaderOf(s.View)
	if !ok || owner.Incarnation != s.Self.Incarnation {
		return false
	}
	since, ok := s.history.releasedSince(LeaderOf, 0, nil)
	return ok && !now.Before(since)
}

// ActsAs reports whether this instance may act as the owner of a role at now.
func (s *Status) ActsAs(ownerOf OwnerFunc, now time.Time) bool {
	if !s.HoldsLease(now) {
		return false
	}
	since, ok := s.actsSince(ownerOf)
	return ok && !now.Before(since)
}

func (s *Status) actsSince(ownerOf OwnerFunc) (time.Time, bool) {
	owner, ok := ownerOf(s.View)
	if !ok || s.Self.Incarnation == 0 || owner.Incarnation != s.Self.Incarnation {
		return time.Time{}, false
	}
	return s.history.servableSince(ownerOf)
}

// Converged reports whether every member is known to have applied the current epoch.
func (s *Status) Converged() bool {
	return s.history == nil || len(s.history.views) == 1
}
