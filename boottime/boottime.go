// Package boottime reads a monotonic clock that includes the time in which the machine is
// suspended. The monotonic clock of package time excludes it, so that a lease or a cached
// configuration timed with that clock would look valid after a suspension of any length.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Time is the time since the machine was booted. Times of different machines cannot be compared.
type Time time.Duration

// Clock returns the current Time. It is Now, except in tests.
type Clock func() Time

// Now returns the time of the machine's CLOCK_BOOTTIME.
func Now() Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Every Linux kernel since 2.6.39 has this clock.
		panic("cannot read CLOCK_BOOTTIME: " + err.Error())
	}
	return Time(ts.Nano())
}

// Sub returns the duration from u to t.
func (t Time) Sub(u Time) time.Duration { return time.Duration(t - u) }

// Add returns the time d after t.
func (t Time) Add(d time.Duration) Time { return t + Time(d) }
