package node

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"galenastair"
	"galenastair/boottime"
)

// A new configuration has each of hundreds of instances ask the store at once, or wait for one
// that the store refuses.
func TestOneOfAZoneReadsTheStore(t *testing.T) {
	is := is.New(t)
	var s sources
	now := boottime.Time(time.Hour)
	const zone galenastair.AvailabilityZone = "z"
	is.Equal(s.direct(now, zone, "a", 5, 6), direction{})
	is.Equal(s.direct(now, zone, "b", 5, 6), direction{Wait: true})
	is.Equal(s.direct(now, "other", "c", 5, 6), direction{})
	// the one that was sent is refused by the store
	now = now.Add(readTime)
	is.Equal(s.direct(now, zone, "b", 5, 6), direction{})
	is.Equal(s.direct(now, zone, "b", 6, 6), direction{})
	is.Equal(s.direct(now, zone, "a", 5, 6), direction{Peer: "b"})
	// the next version
	is.Equal(s.direct(now, zone, "a", 6, 7), direction{})
	is.Equal(s.direct(now, zone, "b", 6, 7), direction{Wait: true})
}
