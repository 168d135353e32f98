package node

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"galenastair"
	"galenastair/boottime"
	"galenastair/planner"
)

// Guards against recorders that end together, are about to end, or change while they report.
func TestRecordersOutliveAnInstanceAndAZone(t *testing.T) {
	is := is.New(t)
	d := &instanceDirectory{regions: map[galenastair.AvailabilityZone]galenastair.Region{"a": "r1", "b": "r1", "c": "r2"}}
	now := boottime.Time(time.Hour)
	report := func() {
		for i := range 12 {
			zone := []galenastair.AvailabilityZone{"a", "a", "b", "c"}[i%4]
			d.record(now, planner.Report{Address: fmt.Sprintf("%s%d", zone, i), Zone: zone, Stopping: i < 4})
		}
	}
	report()
	named := d.recorders(now, "a")
	is.Equal(len(named), recorderCount)
	inZone := map[byte]int{}
	for _, address := range named {
		inZone[address[0]]++
	}
	is.Equal(inZone['c'], 0)
	is.Equal(inZone['b'], 2)
	is.True(!slices.Contains(named, "a0") && !slices.Contains(named, "b2"))
	now = now.Add(2 * recordersTTL)
	report()
	is.Equal(d.recorders(now, "b"), named)
}

// Guards against recorders whose messages grow with the fleet, and records that wait long in a small one.
func TestFlushIntervalFollowsTheFleet(t *testing.T) {
	is := is.New(t)
	is.Equal(flushInterval(0), minFlushInterval)
	is.Equal(flushInterval(9), minFlushInterval)
	is.Equal(flushInterval(25), 500*time.Millisecond)
	is.Equal(flushInterval(370), maxFlushInterval)
}

// Guards against an instance that asks no recorder of another region, or asks an instance twice.
func TestOtherRecordersAreOfEachOtherRegion(t *testing.T) {
	is := is.New(t)
	d := &instanceDirectory{regions: map[galenastair.AvailabilityZone]galenastair.Region{"a": "r1", "b": "r1", "c": "r2", "d": "r3", "e": "r4"}}
	now := boottime.Time(time.Hour)
	for i := range 20 {
		zone := []galenastair.AvailabilityZone{"a", "b", "c", "d"}[i%4]
		d.record(now, planner.Report{Address: fmt.Sprintf("%s%d", zone, i), Zone: zone})
	}
	named := d.otherRecorders(now, "a")
	for _, zone := range []galenastair.AvailabilityZone{"c", "d"} {
		for _, address := range d.recorders(now, zone)[:otherRecorderCount] {
			is.True(slices.Contains(named, address))
		}
	}
	for _, address := range d.recorders(now, "a") {
		is.True(!slices.Contains(named, address))
	}
	is.Equal(len(slices.Compact(slices.Sorted(slices.Values(named)))), len(named))
	is.Equal(d.otherRecorders(now, "b"), named)
}
