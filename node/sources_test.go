package node

import (
	"strconv"
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

// storm plays one availability zone while versions come faster than one gets around, and
// returns the longest time from a version to the last instance that goes by it or a newer one.
// Instances ask the leader each 0.3 s; a record takes its source's link for a while.
func storm(s *sources, instances int, gap, length time.Duration) time.Duration {
	const (
		step     = 5 * time.Millisecond
		period   = 300 * time.Millisecond
		reads    = 100 * time.Millisecond
		transfer = 25 * time.Millisecond
	)
	type instance struct {
		next, arrives, linkFree boottime.Time
		position, coming        galenastair.Offset
	}
	fleet := make([]instance, instances)
	begin := boottime.Time(time.Hour)
	for i := range fleet {
		fleet[i].next = begin.Add(period * time.Duration(i) / time.Duration(instances))
	}
	worst := time.Duration(0)
	for now := begin; now.Sub(begin) < length; now = now.Add(step) {
		end := galenastair.Offset(now.Sub(begin) / gap)
		for i := range fleet {
			f := &fleet[i]
			if f.coming > 0 && now >= f.arrives {
				f.position, f.coming = max(f.position, f.coming), 0
			}
			// version n is made when n gaps have passed
			if f.position < end {
				worst = max(worst, now.Sub(begin.Add(gap*time.Duration(f.position+1))))
			}
			if now < f.next || f.coming > 0 {
				continue
			}
			f.next = now.Add(period)
			switch d := s.direct(now, "z", strconv.Itoa(i), f.position, end); {
			case d.Peer != "":
				n, _ := strconv.Atoi(d.Peer)
				source := &fleet[n]
				source.linkFree = max(source.linkFree, now).Add(transfer)
				f.coming, f.arrives = source.position, source.linkFree
			case !d.Wait && f.position < end:
				f.coming, f.arrives = end, now.Add(reads)
			}
		}
	}
	return worst
}

// Versions come each 0.2 s, and only instances that have all of them were named as sources:
// nobody ever had, and most of the zone went by the version before the storm.
func TestStormOfVersionsReachesAll(t *testing.T) {
	const applyTimeout = 4 * time.Second
	for _, instances := range []int{5, 27, 49, 120} {
		for _, gap := range []time.Duration{50 * time.Millisecond, 200 * time.Millisecond, time.Second, 8 * time.Second} {
			var s sources
			worst := storm(&s, instances, gap, 12*time.Second)
			t.Logf("%d instances, a version each %s: in force within %s", instances, gap, worst)
			if worst >= applyTimeout-hintMargin {
				t.Errorf("%d instances, a version each %s: in force within %s", instances, gap, worst)
			}
		}
	}
}

// An instance that serves others is gone, and the zone waits for it.
func TestSourceThatReportsNoMoreIsNotNamed(t *testing.T) {
	is := is.New(t)
	var s sources
	now := boottime.Time(time.Hour)
	is.Equal(s.direct(now, "z", "gone", 7, 7), direction{})
	is.Equal(s.direct(now, "z", "a", 5, 7), direction{Peer: "gone"})
	now = now.Add(readerLife + time.Millisecond)
	is.Equal(s.direct(now, "z", "a", 5, 7), direction{})
}
