package follow_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"galenastair"
	"galenastair/boottime"
	"galenastair/follow"
)

// Guards against records of a restored store that are discarded as stale or never read, as their offsets are
// below the follower's.
func TestRecordsAreReadAfterTheStoreIsRestored(t *testing.T) {
	t.Parallel()
	for _, rewritten := range []int{0, 1, 6, 12} {
		t.Run(fmt.Sprint(rewritten, " records after"), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s, f, r := startFollower(t)
			put := func(key, value string) { s.Put(string(topic), key, []byte(value)) }
			for i := range 15 {
				put(fmt.Sprint("k", i), "1")
			}
			waitFor(t, "the records of the copy", func() bool { return r.get("k14") == "1" })
			older := s.Copy()
			for i := range 5 {
				put(fmt.Sprint("lost", i), "1")
			}
			waitFor(t, "the records that will be lost", func() bool { return r.get("lost4") == "1" })
			s.Restore(older)
			restored := time.Now()
			put("server", "leaving")
			for i := range rewritten {
				put(fmt.Sprint("k", i), "2")
			}
			waitFor(t, "the record of the new timeline", func() bool { return r.get("server") == "leaving" })
			is.True(time.Since(restored) < time.Second)
			waitFor(t, "the end of what was lost", func() bool { return r.get("lost4") == "" })
			put("last", "1")
			waitFor(t, "a later record", func() bool { return r.get("last") == "1" })
			age, ok := f.Age()
			is.True(ok)
			is.True(age < time.Second)
		})
	}
}

// Guards against a follower that missed several timelines, of which the last ends where the first did.
func TestFollowerThatMissedTimelinesReadsTheLast(t *testing.T) {
	t.Parallel()
	s, _, r := startFollower(t)
	s.Put(string(topic), "a", []byte("1"))
	waitFor(t, "the first value", func() bool { return r.get("a") == "1" })
	older := s.Copy()
	s.Put(string(topic), "a", []byte("2"))
	waitFor(t, "the second value", func() bool { return r.get("a") == "2" })
	for _, value := range []string{"3", "4", "5"} {
		s.Restore(older)
		s.Put(string(topic), "a", []byte(value))
	}
	waitFor(t, "the value of the last timeline", func() bool { return r.get("a") == "5" })
}

// Guards against a follower that waits for another instance's records of a timeline that it has not listed.
func TestHintOfALaterTimelineCausesAListing(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s, f, r := startFollower(t, follow.WithMaxHintAge(time.Minute))
	s.Put(string(topic), "a", []byte("1"))
	waitFor(t, "the first value", func() bool { return r.get("a") == "1" })
	older := s.Copy()
	at, _ := f.Position()
	f.Notify(follow.Hint{KeyedBatch: galenastair.KeyedBatch{Next: at, End: at}, ConfirmedAt: boottime.Now()})
	waitFor(t, "the hint to be applied", func() bool { age, _ := f.Age(); return age < 50*time.Millisecond })
	time.Sleep(200 * time.Millisecond)
	s.Restore(older)
	s.Put(string(topic), "a", []byte("2"))
	time.Sleep(200 * time.Millisecond)
	is.Equal(r.get("a"), "1")
	f.Notify(follow.Hint{KeyedBatch: galenastair.KeyedBatch{Next: at, End: galenastair.Timeline(1).Offset(2)}, ConfirmedAt: boottime.Now(), Wait: true})
	waitFor(t, "the second value", func() bool { return r.get("a") == "2" })
}
