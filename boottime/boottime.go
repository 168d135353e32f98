// Package boottime reads a clock that goes on while the machine is suspended. The
// monotonic clock of package time stands still then, so that a lease or a view counted
// on it would look fresh after a suspension of any length.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Time is a reading since the machine's start; readings of two machines can't be compared.
type Time time.Duration

// Clock reads the time.
type Clock func() Time

// Now reads the machine's clock.
func Now() Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// no Linux since 2.6.39 lacks this clock
		panic("the machine has no CLOCK_BOOTTIME: " + err.Error())
	}
	return Time(ts.Nano())
}

// Sub returns the duration since an earlier reading.
func (t Time) Sub(u Time) time.Duration { return time.Duration(t - u) }

// Add returns the reading after a duration.
func (t Time) Add(d time.Duration) Time { return t + Time(d) }
