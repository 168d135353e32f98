package member

import "time"

// Reach says what a member knows about the platform's log.
type Reach string

// What a member can know about the log.
const (
	// Reached says that this instance reads the log.
	Reached Reach = "Reached"
	// OutOfReach says that others read the log and this instance does not: it is
	// cut off, and should take records from its peers.
	OutOfReach Reach = "OutOfReach"
	// Down says that nobody heard of reads the log: nothing new can have been
	// accepted there, as far as anyone who can be heard of knows.
	Down Reach = "Down"
)

// LogReach tells a log that is down for all from one that only this instance does not reach.
//
// A group cut off together from the log and the rest takes it for Down. It can
// not go on for long on an old configuration: the last of the group along the
// ring has a watcher outside and loses its lease, a member without a lease
// promises nothing, and so the leases of the group end one after the other, each
// within a lease of the next. Where neighbours are in different zones, a zone
// that is cut off has lost all its leases after one.
func (s *Status) LogReach(now time.Time) Reach {
	switch {
	case !s.LogContact.IsZero() && now.Sub(s.LogContact) <= s.contact:
		return Reached
	case s.Fleet.LogContact.Sub(s.LogContact) > s.contact:
		return OutOfReach
	default:
		return Down
	}
}
