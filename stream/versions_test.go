package stream

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"galenastair"
	"galenastair/boottime"
)

type registered = map[galenastair.ServiceName][]galenastair.SoftwareVersion

var wall = time.Unix(1_000_000, 0)

// exchange has a view apply the reply of a leader.
func exchange(v *VersionView, l *VersionLog, sent boottime.Time) {
	list := l.List()
	d := list.Digest()
	if d == v.Digest() {
		list = nil
	}
	v.Apply(sent, d, list)
}

// Guards against streams at a version that is not stored, or that an instance may not know of yet.
func TestStreamsBeginAtAVersionThatIsStored(t *testing.T) {
	is := is.New(t)
	l, v := NewVersionLog(), NewVersionView()
	l.Observe(0, wall, registered{"writer": {"v1"}})
	l.Observe(boottime.Time(listMaxAge), wall, registered{"writer": {"v1"}})
	first, changed := l.Checkpoint(0)
	is.True(changed)
	exchange(v, l, 0)
	is.True(!v.MayBegin("writer", "v1"))
	l.CheckpointStored(first)
	exchange(v, l, 1)
	is.True(v.MayBegin("writer", "v1"))
	is.True(v.Fresh(1))

	l.Observe(boottime.Time(listMaxAge)+2, wall, registered{"writer": {"v1", "v2"}})
	_, changed = l.Checkpoint(0)
	is.True(!changed)
	exchange(v, l, 2)
	is.Equal(v.List().Versions("writer"), []galenastair.SoftwareVersion{"v1", "v2"})
	is.True(!v.MayBegin("writer", "v2"))
	l.Observe(2+boottime.Time(2*listMaxAge), wall, registered{"writer": {"v2"}})
	second, changed := l.Checkpoint(0)
	is.True(changed)
	l.CheckpointStored(second)
	exchange(v, l, 3)
	is.True(v.MayBegin("writer", "v2"))
	is.True(v.MayBegin("writer", "v1"))
	is.True(!v.Fresh(3 + boottime.Time(listMaxAge)))
}

// Guards against writes to the store while the versions stay as they are.
func TestNothingIsStoredWhileVersionsStay(t *testing.T) {
	is := is.New(t)
	l := NewVersionLog()
	for i := range 2 {
		l.Observe(boottime.Time(i)*boottime.Time(listMaxAge), wall, registered{"writer": {"v1"}, "app": {"v7"}})
	}
	c, changed := l.Checkpoint(0)
	is.True(changed)
	l.CheckpointStored(c)
	for i := range 100 {
		l.Observe(boottime.Time(i)*boottime.Time(time.Minute), wall.Add(time.Duration(i)*time.Minute), registered{"writer": {"v1"}, "app": {"v7"}})
		_, changed := l.Checkpoint(0)
		is.True(!changed)
	}
	next := NewVersionLog()
	next.Reset(0, nil, false)
	next.Restore(c)
	next.Observe(0, wall, registered{"writer": {"v1"}, "app": {"v7"}})
	_, changed = next.Checkpoint(0)
	is.True(!changed)
}

// Guards against a version that is forgotten while its streams may still be resumed, or that stays for good.
func TestVersionWithoutServersIsForgottenLater(t *testing.T) {
	is := is.New(t)
	l := NewVersionLog()
	l.Observe(0, wall, registered{"writer": {"v1"}})
	l.Observe(1, wall, registered{"writer": {"v2"}})
	l.Observe(2, wall.Add(versionMemory), registered{"writer": {"v2"}})
	is.Equal(l.List().Several(), []galenastair.ServiceName{"writer"})
	l.Observe(3, wall.Add(versionMemory+time.Second), registered{"writer": {"v2"}})
	is.Equal(l.List().Versions("writer"), []galenastair.SoftwareVersion{"v2"})
}

// Guards against streams that cannot begin while instances of an older program lead.
func TestLeaderOfAnOlderProgramRestrictsNoVersion(t *testing.T) {
	is := is.New(t)
	v := NewVersionView()
	changed := v.Changed()
	is.True(!v.MayBegin("writer", "v1"))
	v.Apply(0, 0, nil)
	is.True(v.MayBegin("writer", "v1"))
	is.True(!v.Fresh(0))
	<-changed
}

// Guards against an instance that infers the version of a stream while streams have begun at another one,
// whenever leaders, versions and processes come and go.
func TestNobodyInfersAVersionWhileStreamsBeganAtAnother(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const instances = 3
		now, stored := boottime.Time(0), VersionCheckpoint{}
		servers := registered{"writer": {"v1"}}
		leader := NewVersionLog()
		leader.Reset(now, nil, true)
		var pending *VersionCheckpoint
		views := make([]*VersionView, instances)
		for i := range views {
			views[i] = NewVersionView()
		}
		begun := map[galenastair.SoftwareVersion]bool{}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			i := rapid.IntRange(0, instances-1).Draw(t, "instance")
			switch rapid.IntRange(0, 7).Draw(t, "step") {
			case 0:
				now = now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond)
			case 1:
				versions := rapid.SliceOfNDistinct(rapid.SampledFrom([]galenastair.SoftwareVersion{"v1", "v2", "v3"}), 1, 2, rapid.ID).Draw(t, "versions")
				servers = registered{"writer": versions}
			case 2:
				leader.Observe(now, wall, servers)
				exchange(views[i], leader, now)
			case 3:
				leader.Observe(now, wall, servers)
				if c, changed := leader.Checkpoint(0); changed && pending == nil {
					pending = &c
				}
			case 4:
				if pending != nil {
					stored = *pending
					if rapid.Bool().Draw(t, "answered") {
						leader.CheckpointStored(*pending)
						pending = nil
					}
				}
			case 5:
				// the next leader, or all processes at once
				pending, leader = nil, NewVersionLog()
				if rapid.Bool().Draw(t, "all") {
					for i := range views {
						views[i] = NewVersionView()
						views[i].Restore(stored.List())
					}
				}
				leader.Reset(now, views[i].List(), false)
				leader.Restore(stored)
			case 6:
				views[i] = NewVersionView()
				views[i].Restore(stored.List())
			case 7:
				for _, v := range servers["writer"] {
					if views[i].MayBegin("writer", v) {
						begun[v] = true
					}
				}
			}
			for i := range 2 * instances {
				v := views[i/2]
				answers := []Answer{{Versions: v.List().Versions("writer"), Fresh: v.Fresh(now)}}
				if i%2 == 0 {
					// the instance reads the store
					answers = append(answers, Answer{Versions: stored.List().Versions("writer"), Fresh: true})
				}
				o, err := Resolve("writer", answers, true)
				if err != nil {
					continue
				}
				for other := range begun {
					if other != o.Version {
						t.Fatalf("inferred %s, but streams have begun at %v", o.Version, slices.Sorted(maps.Keys(begun)))
					}
				}
			}
		}
	})
}
