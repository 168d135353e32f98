package quota

import "time"

// ownBucket is an instance's part while it is alone. It fills with time, and grants on
// credit.
//
// Load: a fleet of which each instance's part brings less than one request in the time
// until the next lender. Harm: if each waits until it has the whole cost, all requests are
// refused though together the parts would pay for many. So each grants its first request
// at a part of the cost drawn by chance, its phase, and owes the rest: over all instances
// as much is granted as came in, and no instance is off by more than one request.
type ownBucket struct {
	bucket
	at time.Time
	// phase is drawn from 0 up to 1.
	phase float64
}

// fill takes in what has come since; nothing before at, which may lie ahead.
func (b *ownBucket) fill(now time.Time) {
	if !b.at.IsZero() && now.After(b.at) {
		b.add(b.rate * now.Sub(b.at).Seconds())
	}
	if b.at.IsZero() || now.After(b.at) {
		b.at = now
	}
}

// mostStored bounds what is kept for one large request, in sizes of the part's bucket: all
// instances would keep as much while nobody asks, and then grant it at once.
const mostStored = 3

// room makes the bucket large enough for a request of a cost to be granted, if that is not
// out of all proportion to it.
func (b *ownBucket) room(size, largest float64) float64 {
	return max(size, min(b.phase*largest, mostStored*size))
}

// grant takes n, on credit beyond what the phase asks for.
func (b *ownBucket) grant(n float64) bool {
	if b.level < b.phase*n {
		return false
	}
	b.level -= n
	return true
}
