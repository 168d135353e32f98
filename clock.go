package galenastair

import "time"

// Clock returns the current time with a monotonic reading. Times of different instances must
// not be compared.
type Clock interface {
	Now() time.Time
}

// SystemClock is a Clock that uses time.Now.
type SystemClock struct{}

// Now returns time.Now().
func (SystemClock) Now() time.Time { return time.Now() }
