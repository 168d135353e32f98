package member

import "time"

// LogReachability is what a member knows about the availability of the platform's log.
type LogReachability string

// The values of LogReachability.
const (
	// LogReachable means that this instance reads the log.
	LogReachable LogReachability = "Reached"
	// LogUnreachable means that other members read the log and this instance does not. It should
	// take records from its peers.
	LogUnreachable LogReachability = "OutOfReach"
	// LogDown means that no known member reads the log, so no new record is known to have been
	// accepted.
	LogDown LogReachability = "Down"
)

// LogReachability distinguishes a log that is down for all members from one that only this instance
// cannot reach.
//
// Members that are cut off together from the log and from all other members see LogDown. They
// cannot act on an old configuration for long: the last of them along the ring has a watcher
// outside the group and loses its lease. A member without a lease grants none, so the leases of the
// group end one after the other, each within one lease duration of the next. If neighbours are in
// different zones, all members of a zone that is cut off lose their leases within one duration.
func (s *Status) LogReachability(now time.Time) LogReachability {
	switch {
	case !s.LogContact.IsZero() && now.Sub(s.LogContact) <= s.logContactMaxAge:
		return LogReachable
	case s.Fleet.LogContact.Sub(s.LogContact) > s.logContactMaxAge:
		return LogUnreachable
	default:
		return LogDown
	}
}
