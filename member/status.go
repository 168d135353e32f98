package member

import (
	"time"

	"galenastair"
)

// Status is what one member knows at one moment; it is immutable and meant for traffic to read.
type Status struct {
	// Self is this instance; its incarnation is zero while it is no member.
	Self   Member
	View   View
	Leader Member
	Fence  galenastair.Fence
	// Offset is the last record of the control stream that was folded, plus one.
	Offset galenastair.Offset
	Fleet  Fleet
	// LogContact is when this instance last read the log to its end; zero if never.
	LogContact time.Time

	lease    lease
	settling *settling
	contact  time.Duration
}

// lease is how long this member may act.
type lease struct {
	until time.Time
	// alone is set while the member needs nobody's promise.
	alone   bool
	stopped bool
}

func (l lease) holds(now time.Time) bool {
	return !l.stopped && (l.alone || now.Before(l.until))
}

// Holds says whether this instance is a member whose lease runs at now.
//
// It is meant to be checked right before each act that needs the lease. A pause
// of the process between the check and the act can still carry the act past the
// lease; the successor's delay (see settling) covers a pause up to Promise long
// after the lease's end, and fencing numbers or claims must cover a longer one.
func (s *Status) Holds(now time.Time) bool {
	return s.Self.Incarnation != 0 && s.lease.holds(now)
}

// LeaseEnds returns when the lease ends; it is zero for a member that needs nobody's promise.
func (s *Status) LeaseEnds() time.Time {
	if s.lease.alone {
		return time.Time{}
	}
	return s.lease.until
}

// Owner returns the member whose duty a slot of a key is in the present ring.
func (s *Status) Owner(key string, slot int) (Member, bool) {
	return SlotDuty(key, slot)(s.View)
}

// Owners returns the members of the first slots of a key; there are fewer in a smaller ring.
func (s *Status) Owners(key string, slots int) []Member {
	ranked := Rank(s.View.Ring, key)
	return ranked[:min(slots, len(ranked))]
}

// Serves says whether this instance may serve a slot of a key at now: the present
// ring gives it the duty, its lease runs, and every earlier owner is settled.
func (s *Status) Serves(key string, slot int, now time.Time) bool {
	return s.ServesDuty(SlotDuty(key, slot), now)
}

// ServesSince returns since when this instance may serve a slot of a key; lease apart.
func (s *Status) ServesSince(key string, slot int) (time.Time, bool) {
	return s.dutySince(SlotDuty(key, slot))
}

// Leads says whether this instance may act as leader at now.
//
// A leader does not wait for a pause of the one before, whose lease has ended: orders that it
// sends on waking are refused for their fence, or stand in the log and are reckoned with (see
// ledger). Models that have lost their copies wait for the next leader.
func (s *Status) Leads(now time.Time) bool {
	if !s.Holds(now) {
		return false
	}
	owner, ok := LeaderDuty(s.View)
	if !ok || owner.Incarnation != s.Self.Incarnation {
		return false
	}
	since, ok := s.settling.settledWithout(LeaderDuty, 0, nil)
	return ok && !now.Before(since)
}

// ServesDuty says whether this instance may serve a duty at now.
func (s *Status) ServesDuty(d Duty, now time.Time) bool {
	if !s.Holds(now) {
		return false
	}
	since, ok := s.dutySince(d)
	return ok && !now.Before(since)
}

func (s *Status) dutySince(d Duty) (time.Time, bool) {
	owner, ok := d(s.View)
	if !ok || s.Self.Incarnation == 0 || owner.Incarnation != s.Self.Incarnation {
		return time.Time{}, false
	}
	return s.settling.settled(d)
}

// Settled says whether every member is known to have folded the present epoch.
func (s *Status) Settled() bool {
	return s.settling == nil || len(s.settling.views) == 1
}
