package galenastair

import "time"

// Clock gives monotonic readings; they are never compared between instances.
type Clock interface {
	Now() time.Time
}

// SystemClock is the clock of the machine.
type SystemClock struct{}

// Now returns the present reading.
func (SystemClock) Now() time.Time { return time.Now() }
