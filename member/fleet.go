package member

import (
	"time"

	"galenastair"
)

// Fleet is what this member has learnt about the other members through gossip.
type Fleet struct {
	// Configuration is the highest configuration offset that any member has applied.
	Configuration galenastair.Offset
	// LogContact is the latest time, by this member's clock, at which another member is known to
	// have reached the log; zero if none is known.
	LogContact time.Time
	// Refused holds the digests that no instance should run, and until when.
	Refused map[string]time.Time
}

// Refuses reports whether requests with a digest are refused at now.
func (f Fleet) Refuses(digest string, now time.Time) bool {
	until, ok := f.Refused[digest]
	return ok && now.Before(until)
}
