package member

import (
	"time"

	"galenastair"
)

// Fleet is what heartbeats have told about the other members.
type Fleet struct {
	// Configuration is the highest configuration offset that any member has folded.
	Configuration galenastair.Offset
	// LogContact is the latest moment, by this member's clock, at which some other
	// member is known to have reached the log; zero if none is known.
	LogContact time.Time
	// Refused holds the digests that no instance should run now.
	Refused map[string]time.Time
}

// Refuses says whether a digest is to be refused at now.
func (f Fleet) Refuses(digest string, now time.Time) bool {
	until, ok := f.Refused[digest]
	return ok && now.Before(until)
}
