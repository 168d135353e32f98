package quota

import (
	"time"

	"galenastair"
)

// Part is one instance's part of all quotas, from 0 to 1. Over all instances the parts are
// at most the whole.
type Part float64

// equalPart is the part of one of fleet instances that all have the same.
func equalPart(fleet int) Part { return 1 / Part(max(1, fleet)) }

// Passed is what an instance leaves to the lender: its part, for a time that has gone by.
type Passed struct {
	Time time.Duration
	Part Part
	// Fleet is how many instances it knows of; 0 if nobody has told it.
	Fleet int
	// Advanced is how much of the time was granted in advance.
	Advanced map[galenastair.Organisation]time.Duration
	// Version is that of the moderate organisations which it was told last.
	Version int64
}

// Standing is how an instance stands by the lender's word.
type Standing struct {
	// Fleet is how many instances there are; 0 leaves fleet and part as they are.
	Fleet int
	Part  Part
	// Moderate are all moderate organisations, if Version is not what the instance has.
	Moderate []galenastair.Organisation
	Version  int64
}
