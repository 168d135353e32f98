package quota

import (
	"time"

	"galenastair"
)

// Fraction is one instance's fraction of all quotas, from 0 to 1. Over all instances the fractions
// add up to at most 1.
type Fraction float64

// equalFraction is the fraction of one instance if all have the same.
func equalFraction(fleet int) Fraction { return 1 / Fraction(max(1, fleet)) }

// Contribution is what an instance leaves to the lender: its fraction, for a time that has
// elapsed.
type Contribution struct {
	Elapsed  time.Duration
	Fraction Fraction
	// FleetSize is the number of instances that it knows of; 0 if it has not been told.
	FleetSize int
	// Advanced is how much of the elapsed time was already granted in advance.
	Advanced map[galenastair.Organisation]time.Duration
	// Version is that of the low-usage list that the instance has.
	Version int64
}

// Allocation is the lender's answer to a contribution.
type Allocation struct {
	// FleetSize is the number of instances; 0 leaves fleet size and fraction unchanged.
	FleetSize int
	Fraction  Fraction
	// LowUsage lists all low-usage organisations, if Version differs from the instance's own.
	LowUsage []galenastair.Organisation
	Version  int64
}
