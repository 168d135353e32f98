package node

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"galenastair"
	"galenastair/boottime"
)

// After a new configuration, one instance of a zone reads the store and the others fetch from it,
// so that hundreds of instances do not call the store at once. If the store refuses that instance,
// another one has to read it.
func TestOneInstancePerZoneReadsStore(t *testing.T) {
	is := is.New(t)
	var s fetchScheduler
	now := boottime.Time(time.Hour)
	const zone galenastair.AvailabilityZone = "z"
	is.Equal(s.assign(now, zone, "a", 5, 6), fetchSource{})
	is.Equal(s.assign(now, zone, "b", 5, 6), fetchSource{Wait: true})
	is.Equal(s.assign(now, "other", "c", 5, 6), fetchSource{})
	// the store refuses the instance that was assigned to it
	now = now.Add(storeReadTimeout)
	is.Equal(s.assign(now, zone, "b", 5, 6), fetchSource{})
	is.Equal(s.assign(now, zone, "b", 6, 6), fetchSource{})
	is.Equal(s.assign(now, zone, "a", 5, 6), fetchSource{Peer: "b"})
	// the next version
	is.Equal(s.assign(now, zone, "a", 6, 7), fetchSource{})
	is.Equal(s.assign(now, zone, "b", 6, 7), fetchSource{Wait: true})
}

// simulateStorm simulates one availability zone while versions are published faster than one
// version reaches all instances. It returns the longest time from the publication of a version
// until the last instance has it or a newer one. Instances report to the leader every 0.3 s, and
// each transfer of a record occupies the link of its source.
func simulateStorm(s *fetchScheduler, instances int, gap, length time.Duration) time.Duration {
	const (
		step     = 5 * time.Millisecond
		period   = 300 * time.Millisecond
		readTime = 100 * time.Millisecond
		transfer = 25 * time.Millisecond
	)
	type instance struct {
		nextReport, arrival, linkFree boottime.Time
		offset, pending               galenastair.Offset
	}
	fleet := make([]instance, instances)
	begin := boottime.Time(time.Hour)
	for i := range fleet {
		fleet[i].nextReport = begin.Add(period * time.Duration(i) / time.Duration(instances))
	}
	worst := time.Duration(0)
	for now := begin; now.Sub(begin) < length; now = now.Add(step) {
		end := galenastair.Offset(now.Sub(begin) / gap)
		for i := range fleet {
			f := &fleet[i]
			if f.pending > 0 && now >= f.arrival {
				f.offset, f.pending = max(f.offset, f.pending), 0
			}
			// version n is published after n gaps
			if f.offset < end {
				worst = max(worst, now.Sub(begin.Add(gap*time.Duration(f.offset+1))))
			}
			if now < f.nextReport || f.pending > 0 {
				continue
			}
			f.nextReport = now.Add(period)
			switch d := s.assign(now, "z", strconv.Itoa(i), f.offset, end); {
			case d.Peer != "":
				n, _ := strconv.Atoi(d.Peer)
				source := &fleet[n]
				source.linkFree = max(source.linkFree, now).Add(transfer)
				f.pending, f.arrival = source.offset, source.linkFree
			case !d.Wait && f.offset < end:
				f.pending, f.arrival = end, now.Add(readTime)
			}
		}
	}
	return worst
}

// Guards against a zone that gets no new version while versions are published quickly. With one
// every 0.2 s, and only instances that had all versions as sources, no instance ever qualified, and
// most of the zone kept the version from before the storm.
func TestVersionStormReachesAllInstances(t *testing.T) {
	const applyTimeout = 4 * time.Second
	for _, instances := range []int{5, 27, 49, 120} {
		for _, gap := range []time.Duration{50 * time.Millisecond, 200 * time.Millisecond, time.Second, 8 * time.Second} {
			var s fetchScheduler
			worst := simulateStorm(&s, instances, gap, 12*time.Second)
			t.Logf("%d instances, one version every %s: applied within %s", instances, gap, worst)
			if worst >= applyTimeout-hintMargin {
				t.Errorf("%d instances, one version every %s: applied within %s", instances, gap, worst)
			}
		}
	}
}

// An instance that has stopped reporting must not be assigned as a source, or the zone waits for it.
func TestSilentInstanceIsNotAssignedAsSource(t *testing.T) {
	is := is.New(t)
	var s fetchScheduler
	now := boottime.Time(time.Hour)
	is.Equal(s.assign(now, "z", "gone", 7, 7), fetchSource{})
	is.Equal(s.assign(now, "z", "a", 5, 7), fetchSource{Peer: "gone"})
	now = now.Add(reportTimeout + time.Millisecond)
	is.Equal(s.assign(now, "z", "a", 5, 7), fetchSource{})
}
