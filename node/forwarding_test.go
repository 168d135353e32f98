package node

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"galenastair"
	"galenastair/boottime"
	"galenastair/planner"
)

// Guards against requests that are forwarded to an instance that does not reach their servers, stops, is
// gone, or lies in another region.
func TestForwardTargetsCanServe(t *testing.T) {
	is := is.New(t)
	d := &instanceDirectory{regions: map[galenastair.AvailabilityZone]galenastair.Region{"a": "r1", "b": "r1", "c": "r2"}}
	now := boottime.Time(time.Hour)
	d.record(now.Add(-3*time.Second), planner.Report{Address: "gone", Zone: "a"})
	for _, r := range []planner.Report{
		{Address: "asks", Zone: "a", PartitionedFrom: []galenastair.ServiceName{"s", "t"}},
		{Address: "same zone", Zone: "a"},
		{Address: "same region", Zone: "b", PartitionedFrom: []galenastair.ServiceName{"t"}},
		{Address: "other region", Zone: "c"},
		{Address: "stopping", Zone: "a", Stopping: true},
	} {
		d.record(now, r)
	}
	named := d.targets(now, "s", "a")
	slices.Sort(named)
	is.Equal(named, []string{"same region", "same zone"})
	is.Equal(d.targets(now, "t", "a"), []string{"same zone"})
}

// Guards against a leader that names so many instances that its replies grow with the fleet.
func TestForwardTargetsAreFew(t *testing.T) {
	is := is.New(t)
	d := &instanceDirectory{}
	now := boottime.Time(time.Hour)
	for n := range 100 {
		d.record(now, planner.Report{Address: string(rune('a' + n)), Zone: "a"})
	}
	is.Equal(len(d.targets(now, "s", "a")), maxForwardTargets)
}

// Guards against a directory that grows with each instance that was ever replaced.
func TestForwardDirectoryForgetsInstances(t *testing.T) {
	is := is.New(t)
	d := &instanceDirectory{}
	now := boottime.Time(time.Hour)
	for n := range 100 {
		now = now.Add(reportTimeout / 2)
		d.record(now, planner.Report{Address: string(rune('a' + n)), Zone: "a"})
	}
	is.True(len(d.instances) <= 5)
}
