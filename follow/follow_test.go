package follow_test

import (
	"context"
	"errors"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"galenastair"
	"galenastair/boottime"
	"galenastair/follow"
	"galenastair/platform"
	"galenastair/standin/metastore"
)

const topic galenastair.Topic = "keyed.op"

// reader keeps the newest value of each key as a follower's owner does.
type reader struct {
	mu     sync.Mutex
	values map[string]string
}

func (r *reader) apply(b galenastair.KeyedBatch, whole bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if whole {
		r.values = map[string]string{}
	}
	for _, rec := range b.Records {
		if len(rec.Value) == 0 {
			delete(r.values, rec.Key)
			continue
		}
		r.values[rec.Key] = string(rec.Value)
	}
}

func (r *reader) get(key string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.values[key]
}

func start(t *testing.T, opts ...follow.Option) (*metastore.Store, *follow.Follower, *reader) {
	t.Helper()
	s := metastore.New()
	server := httptest.NewServer(s.Handler())
	r := &reader{values: map[string]string{}}
	f := follow.New(platform.NewStore(server.Listener.Addr().String()), topic, r.apply, append([]follow.Option{follow.WithWait(100 * time.Millisecond)}, opts...)...)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- f.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; !errors.Is(err, context.Canceled) {
			t.Error(err)
		}
		server.CloseClientConnections()
		server.Close()
	})
	return s, f, r
}

func until(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for range 400 {
		if ok() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("not seen: " + what)
}

// A follower reads all pages of the newest records, then each change.
func TestFollowsAllPagesAndChanges(t *testing.T) {
	s, _, r := start(t)
	for _, key := range []string{"a", "b", "c", "d", "e", "f", "g"} {
		s.Put(string(topic), key, []byte("1"))
	}
	until(t, "the last key", func() bool { return r.get("g") == "1" })
	s.Put(string(topic), "c", []byte("2"))
	until(t, "the change", func() bool { return r.get("c") == "2" })
	s.Put(string(topic), "c", nil)
	until(t, "the end of a key", func() bool { return r.get("c") == "" })
}

// The store drops its history while changes are made: the follower begins with the
// newest records again and misses none.
func TestBeginsAnewWhenHistoryIsGone(t *testing.T) {
	s, _, r := start(t)
	s.Put(string(topic), "a", []byte("1"))
	until(t, "the first", func() bool { return r.get("a") == "1" })
	s.Switch(func(sw *metastore.Switches) { sw.Refuse = true })
	s.Put(string(topic), "a", []byte("2"))
	s.Put(string(topic), "b", []byte("1"))
	s.Compact(string(topic))
	s.Switch(func(sw *metastore.Switches) { sw.Refuse = false })
	until(t, "the change", func() bool { return r.get("a") == "2" && r.get("b") == "1" })
}

// After the history was dropped, the newest records come from a state of a moment ago.
// A key withdrawn meanwhile would be back; the answer is not taken, and does not count
// as a confirmation.
func TestOlderNewestIsNotTaken(t *testing.T) {
	is := is.New(t)
	s, f, r := start(t)
	s.Put(string(topic), "config", []byte("old"))
	until(t, "the first", func() bool { return r.get("config") == "old" })
	s.Put(string(topic), "config", []byte("new"))
	until(t, "the second", func() bool { return r.get("config") == "new" })
	s.Switch(func(sw *metastore.Switches) { sw.Stale = true })
	s.Compact(string(topic))
	s.Put(string(topic), "other", []byte("x"))
	s.Compact(string(topic))
	time.Sleep(250 * time.Millisecond)
	is.Equal(r.get("config"), "new")
	s.Switch(func(sw *metastore.Switches) { sw.Stale = false })
	until(t, "the rest", func() bool { return r.get("other") == "x" })
	age, ok := f.Age()
	is.True(ok)
	is.True(age < time.Second)
}

// The store goes silent: the age of what is known grows, on a clock that goes on while
// the machine is suspended.
func TestAgeGrowsWithoutTheStore(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	shift := time.Duration(0)
	clock := func() boottime.Time {
		mu.Lock()
		defer mu.Unlock()
		return boottime.Now().Add(shift)
	}
	s, f, r := start(t, follow.WithClock(clock))
	_, ok := f.Age()
	is.True(!ok)
	s.Put(string(topic), "a", []byte("1"))
	until(t, "the first", func() bool { return r.get("a") == "1" })
	s.Switch(func(sw *metastore.Switches) { sw.Silent = true })
	mu.Lock()
	shift = 10 * time.Second
	mu.Unlock()
	age, _ := f.Age()
	is.True(age >= 9*time.Second)
	until(t, "the loss", f.Away)
	s.Switch(func(sw *metastore.Switches) { sw.Silent = false })
	until(t, "the return", func() bool {
		age, _ := f.Age()
		return age < time.Second
	})
}

// A confirmation counts from before the call that brought it: a store that takes a
// second to answer may have been asked a second before a key was withdrawn.
func TestAgeCountsFromBeforeTheCall(t *testing.T) {
	is := is.New(t)
	s, f, r := start(t)
	s.Put(string(topic), "a", []byte("1"))
	until(t, "the first", func() bool { return r.get("a") == "1" })
	s.Switch(func(sw *metastore.Switches) { sw.Delay = 400 * time.Millisecond })
	time.Sleep(1500 * time.Millisecond)
	age, _ := f.Age()
	is.True(age >= 400*time.Millisecond)
}

// One instance reads the store and tells another, which then has no need to ask: it
// takes in the changes and the age, and asks for itself once nobody tells it any more.
func TestHintsSpareTheStore(t *testing.T) {
	is := is.New(t)
	s, f, r := start(t)
	s.Put(string(topic), "a", []byte("1"))
	until(t, "the first", func() bool { return r.get("a") == "1" })
	from, ok := f.Position()
	is.True(ok)
	var tail follow.Tail
	tail.Add(galenastair.KeyedBatch{Next: from, End: from}, true)
	record := galenastair.KeyedRecord{Key: "a", Value: []byte("2"), Offset: from}
	tail.Add(galenastair.KeyedBatch{Records: []galenastair.KeyedRecord{record}, Next: from + 1, End: from + 1}, false)
	told := func() {
		at, _ := f.Position()
		f.Tell(follow.Hint{KeyedBatch: tail.Since(at), AsOf: boottime.Now()})
	}
	// a poll may be under way yet
	told()
	until(t, "the change that was told", func() bool { told(); return r.get("a") == "2" })
	calls := s.Calls("/v1/log-read")
	for range 30 {
		told()
		time.Sleep(20 * time.Millisecond)
	}
	is.True(s.Calls("/v1/log-read")-calls <= 1)
	age, _ := f.Age()
	is.True(age < 200*time.Millisecond)
	s.Put(string(topic), "a", []byte("3"))
	s.Put(string(topic), "a", []byte("4"))
	until(t, "the store is asked again", func() bool { return r.get("a") == "4" })
}

// Changes come all the time, and each that is told costs a call all the same, or one that is
// read beyond what the others know starts a poll that never ends.
func TestToldChangesSpareTheStore(t *testing.T) {
	is := is.New(t)
	s, f, r := start(t)
	s.Put(string(topic), "a", []byte("1"))
	until(t, "the first", func() bool { return r.get("a") == "1" })
	at, _ := f.Position()
	var told atomic.Int64
	hint := func(end galenastair.Offset) {
		f.Tell(follow.Hint{KeyedBatch: galenastair.KeyedBatch{Next: at, End: end}, AsOf: boottime.Now(), Changes: func() { told.Add(1) }})
	}
	spared := func(end galenastair.Offset) bool {
		calls := s.Calls("/v1/log-read")
		for range 15 {
			hint(end)
			time.Sleep(20 * time.Millisecond)
		}
		return s.Calls("/v1/log-read") == calls
	}
	until(t, "the poll under way ends", func() bool { return spared(at + 1) })
	is.Equal(told.Load(), int64(1))
	is.True(spared(at + 1))
	is.True(spared(at))
	age, _ := f.Age()
	is.True(age < 200*time.Millisecond)
}

// The next leader goes on by what it was told, and never reads what others need not know.
func TestRefreshReadsAllAnew(t *testing.T) {
	s, f, r := start(t)
	s.Put(string(topic), "a", []byte("1"))
	until(t, "the first", func() bool { return r.get("a") == "1" })
	newest := s.Calls("/v1/log-newest")
	f.Refresh()
	until(t, "a whole reading", func() bool { return s.Calls("/v1/log-newest") > newest })
}

// Whoever gives hints has lost the store itself: its word grows old, and must not make
// another's view look fresh.
func TestOldHintConfirmsNothing(t *testing.T) {
	is := is.New(t)
	s, f, r := start(t)
	s.Put(string(topic), "a", []byte("1"))
	until(t, "the first", func() bool { return r.get("a") == "1" })
	s.Switch(func(sw *metastore.Switches) { sw.Refuse = true })
	until(t, "the loss", f.Away)
	at, _ := f.Position()
	for range 20 {
		f.Tell(follow.Hint{KeyedBatch: galenastair.KeyedBatch{Next: at, End: at}, AsOf: boottime.Now().Add(-5 * time.Second)})
		time.Sleep(10 * time.Millisecond)
	}
	is.True(f.Away())
	age, _ := f.Age()
	is.True(age >= 200*time.Millisecond)
}

// A tail passes on what follows a position, nothing across a gap, and no large record.
func TestTail(t *testing.T) {
	is := is.New(t)
	var tail follow.Tail
	rec := func(key string, size int) galenastair.KeyedRecord {
		return galenastair.KeyedRecord{Key: key, Value: make([]byte, size)}
	}
	tail.Add(galenastair.KeyedBatch{Next: 10, End: 10}, true)
	tail.Add(galenastair.KeyedBatch{Records: []galenastair.KeyedRecord{rec("a", 1), rec("b", 1), rec("c", 100000), rec("d", 1)}, Next: 14, End: 14}, false)
	is.Equal(len(tail.Since(11).Records), 1)
	is.Equal(tail.Since(11).Next, galenastair.Offset(12))
	is.Equal(tail.Since(11).End, galenastair.Offset(14))
	is.Equal(len(tail.Since(9).Records), 0)
	is.Equal(len(tail.Since(15).Records), 0)
	tail.Add(galenastair.KeyedBatch{Records: []galenastair.KeyedRecord{rec("e", 1)}, Next: 20, End: 20}, false)
	is.Equal(len(tail.Since(13).Records), 0)
	is.Equal(tail.Since(20).End, galenastair.Offset(20))
}

// In a storm of versions the tail keeps only the last few, and whoever is behind those gets none.
func TestTailKeepsTheNewestOfEachKey(t *testing.T) {
	is := is.New(t)
	const versions = 26
	var source, next follow.Tail
	for _, tail := range []*follow.Tail{&source, &next} {
		tail.Add(galenastair.KeyedBatch{Next: 3, End: 3}, true)
	}
	for v := range versions {
		r := galenastair.KeyedRecord{Key: "config", Value: make([]byte, 60<<10)}
		r.Value[0] = byte(v)
		at := galenastair.Offset(4 + v)
		source.Add(galenastair.KeyedBatch{Records: []galenastair.KeyedRecord{r}, Next: at, End: at}, false)
	}
	// passed on by the one that got it
	next.Add(source.All(3), false)
	for _, tail := range []*follow.Tail{&source, &next} {
		b := tail.All(5)
		is.Equal(len(b.Records), 1)
		is.Equal(b.Records[0].Value[0], byte(versions-1))
		is.Equal(b.From(), galenastair.Offset(5))
		is.Equal(b.Next, galenastair.Offset(3+versions))
		is.Equal(len(tail.Since(5).Records), 0)
		is.Equal(tail.Since(5).Next, galenastair.Offset(5))
	}
}

// A hint with gaps moves a follower over the versions that it leaves out.
func TestHintWithSupersededRecordsLeftOut(t *testing.T) {
	is := is.New(t)
	s, f, r := start(t)
	s.Put(string(topic), "a", []byte("1"))
	until(t, "the first", func() bool { return r.get("a") == "1" })
	from, _ := f.Position()
	var tail follow.Tail
	tail.Add(galenastair.KeyedBatch{Next: from, End: from}, true)
	for i, value := range []string{"2", "3", "4"} {
		at := from + galenastair.Offset(i) + 1
		tail.Add(galenastair.KeyedBatch{Records: []galenastair.KeyedRecord{{Key: "a", Value: []byte(value)}}, Next: at, End: at}, false)
	}
	until(t, "the newest", func() bool {
		f.Tell(follow.Hint{KeyedBatch: tail.Since(from), AsOf: boottime.Now()})
		return r.get("a") == "4"
	})
	at, _ := f.Position()
	is.Equal(at, from+3)
}

// Versions come faster than they get around: what an instance has is a moment old and never
// all there is, and it asks the store for each version itself.
func TestHintsOfAStormSpareTheStore(t *testing.T) {
	is := is.New(t)
	s, f, r := start(t)
	s.Put(string(topic), "a", []byte("1"))
	until(t, "the first", func() bool { return r.get("a") == "1" })
	at, _ := f.Position()
	hint := func(behind time.Duration) {
		now := boottime.Now()
		f.Tell(follow.Hint{KeyedBatch: galenastair.KeyedBatch{Next: at, End: at + 1}, AsOf: now, FromAsOf: now.Add(-behind), Wait: true})
	}
	spared := func(behind time.Duration) bool {
		calls := s.Calls("/v1/log-read")
		for range 100 {
			hint(behind)
			time.Sleep(20 * time.Millisecond)
		}
		return s.Calls("/v1/log-read") == calls
	}
	until(t, "the poll under way ends", func() bool {
		hint(0)
		calls := s.Calls("/v1/log-read")
		time.Sleep(120 * time.Millisecond)
		return s.Calls("/v1/log-read") == calls
	})
	is.True(spared(500 * time.Millisecond))
	age, _ := f.Age()
	is.True(age >= 500*time.Millisecond && age < time.Second)
	// too old a version is not gone by
	is.True(!spared(3 * time.Second))
}
