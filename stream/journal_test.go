package stream

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"galenastair"
)

var writerService = []galenastair.ServiceName{"writer"}

// fakeJournalStore holds segments as a keyed topic does.
type fakeJournalStore map[SegmentKey][]Record

func (s fakeJournalStore) write(j *Journal, now time.Time, answered bool) int {
	writes := 0
	for {
		w := j.Next(now)
		if w.IsEmpty() {
			return writes
		}
		writes++
		for _, key := range w.Expired {
			delete(s, key)
		}
		if len(w.Records) > 0 {
			s[w.Key] = w.Records
		}
		if !answered {
			return writes
		}
		j.Written(now, w)
	}
}

func (s fakeJournalStore) segments() map[SegmentKey]time.Duration {
	out := map[SegmentKey]time.Duration{}
	for key, records := range s {
		out[key] = Longest(records)
	}
	return out
}

func (s fakeJournalStore) has(k Key) bool {
	for _, records := range s {
		for _, r := range records {
			if r.Key == k {
				return true
			}
		}
	}
	return false
}

// Guards against writes to the store for services that have one software version.
func TestJournalWritesServicesOfSeveralVersions(t *testing.T) {
	is := is.New(t)
	table, store := NewTable(), fakeJournalStore{}
	j := NewJournal("a", table)
	old := record("old")
	table.Add(start, old)
	j.Begin(start, 0, nil)
	j.SetServices(start, nil)
	j.Add(start, record("r1"))
	table.Add(start, record("r1"))
	is.Equal(store.write(j, start, true), 0)
	// a second version: the streams of the first one are written too
	j.SetServices(start, writerService)
	is.Equal(store.write(j, start, true), 1)
	is.True(store.has(old.Key))
	is.True(store.has(KeyOf("r1")))
	is.Equal(store.write(j, start, true), 0)
}

// Guards against records that only a writer had which has ended, and segments that stay in the store for good.
func TestNextWriterTakesOver(t *testing.T) {
	is := is.New(t)
	store := fakeJournalStore{}
	first := NewJournal("a", NewTable())
	first.Begin(start, 0, nil)
	first.SetServices(start, writerService)
	first.Add(start, record("r1"))
	store.write(first, start, true)
	table := NewTable()
	table.Add(start, record("r2"))
	second := NewJournal("b", table)
	second.Begin(start, 0, store.segments())
	second.SetServices(start, writerService)
	store.write(second, start, true)
	is.True(store.has(KeyOf("r1")))
	is.True(store.has(KeyOf("r2")))
	later := start.Add(time.Minute)
	is.Equal(store.write(second, later, true), 1)
	is.Equal(len(store), 0)
}

// Guards against records that the store has lost, as it came back from a copy.
func TestJournalIsWrittenAgainInANewTimeline(t *testing.T) {
	is := is.New(t)
	table, store := NewTable(), fakeJournalStore{}
	j := NewJournal("a", table)
	j.Begin(start, 0, nil)
	j.SetServices(start, writerService)
	table.Add(start, record("r1"))
	j.Add(start, record("r1"))
	store.write(j, start, true)
	clear(store)
	is.True(j.Writes(0))
	is.True(!j.Writes(1))
	j.Begin(start, 1, store.segments())
	j.SetServices(start, writerService)
	store.write(j, start, true)
	is.True(store.has(KeyOf("r1")))
}

// Guards against records that are missing in the store after calls without an answer, and against segments
// that pile up.
func TestJournalSurvivesUnansweredWrites(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, store, now := NewTable(), fakeJournalStore{}, start
		j := NewJournal("a", table)
		j.Begin(now, 0, nil)
		j.SetServices(now, writerService)
		due := map[Key]time.Time{}
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				r := record(fmt.Sprint(i))
				r.TimeLeft = time.Duration(rapid.IntRange(1, 20).Draw(t, "left")) * time.Second
				table.Add(now, r)
				j.Add(now, r)
				due[r.Key] = now.Add(r.TimeLeft)
			case 2:
				now = now.Add(time.Duration(rapid.IntRange(1, 5).Draw(t, "wait")) * time.Second)
			case 3:
				store.write(j, now, rapid.Bool().Draw(t, "answered"))
			}
		}
		store.write(j, now, true)
		for k, end := range due {
			if now.Before(end) && !store.has(k) {
				t.Fatalf("a record that expires in %s is missing", end.Sub(now))
			}
		}
		store.write(j, now.Add(time.Minute), true)
		if len(store) > 0 {
			t.Fatalf("%d segments stay", len(store))
		}
	})
}

// Guards against a caller that is refused for good, although a recorder has not read the store yet.
func TestStreamIsPendingUntilARecorderHasReadTheStore(t *testing.T) {
	is := is.New(t)
	both := []galenastair.SoftwareVersion{"v1", "v2"}
	_, err := Resolve("writer", []Answer{{Versions: both, Fresh: true}, {Versions: both, Fresh: true}}, true)
	is.Equal(err, ErrPending)
	_, err = Resolve("writer", []Answer{{Versions: both, Fresh: true}, {Versions: both, Loaded: true}}, true)
	is.Equal(err, ErrUnknown)
}
