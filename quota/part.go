package quota

import "time"

// Part is one instance's part of all quotas, from 0 to 1. Over all instances the parts are
// at most the whole.
type Part float64

// wholeBy is the part of one of as many instances.
func wholeBy(fleet int) Part { return 1 / Part(max(1, fleet)) }

// Passed is what an instance leaves to the lender: its part, for a time that has gone by.
type Passed struct {
	Time time.Duration
	Part Part
	// Fleet is how many instances it knows of; 0 if nobody has told it.
	Fleet int
}

// Standing is how an instance stands by the lender's word; the zero value says nothing.
type Standing struct {
	// Fleet is how many instances there are.
	Fleet int
	Part  Part
}
