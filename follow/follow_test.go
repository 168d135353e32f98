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

// reader keeps the newest value of each key.
type reader struct {
	mu     sync.Mutex
	values map[string]string
}

func (r *reader) apply(b galenastair.KeyedBatch, snapshot bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if snapshot {
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

func startFollower(t *testing.T, opts ...follow.Option) (*metastore.Store, *follow.Follower, *reader) {
	t.Helper()
	s := metastore.New()
	server := httptest.NewServer(s.Handler())
	r := &reader{values: map[string]string{}}
	f := follow.New(platform.NewStore(server.Listener.Addr().String()), topic, r.apply, append([]follow.Option{follow.WithPollTimeout(100 * time.Millisecond)}, opts...)...)
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

func waitFor(t *testing.T, event string, ok func() bool) {
	t.Helper()
	for range 400 {
		if ok() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("timed out after 4 s waiting for " + event)
}

// A follower reads all pages of the listing, then each change.
func TestFollowsAllPagesAndChanges(t *testing.T) {
	s, _, r := startFollower(t)
	for _, key := range []string{"a", "b", "c", "d", "e", "f", "g"} {
		s.Put(string(topic), key, []byte("1"))
	}
	waitFor(t, "the last key", func() bool { return r.get("g") == "1" })
	s.Put(string(topic), "c", []byte("2"))
	waitFor(t, "the change", func() bool { return r.get("c") == "2" })
	s.Put(string(topic), "c", nil)
	waitFor(t, "the deletion of the key", func() bool { return r.get("c") == "" })
}

// The store drops the records that a follower has not read yet. The follower must list the
// newest records again, or it misses the changes.
func TestListsAgainAfterHistoryIsDropped(t *testing.T) {
	s, _, r := startFollower(t)
	s.Put(string(topic), "a", []byte("1"))
	waitFor(t, "the first value", func() bool { return r.get("a") == "1" })
	s.UpdateFaults(func(sw *metastore.Faults) { sw.Refuse = true })
	s.Put(string(topic), "a", []byte("2"))
	s.Put(string(topic), "b", []byte("1"))
	s.Compact(string(topic))
	s.UpdateFaults(func(sw *metastore.Faults) { sw.Refuse = false })
	waitFor(t, "the change", func() bool { return r.get("a") == "2" && r.get("b") == "1" })
}

// After the store has compacted a topic, a listing may show an earlier state. Applied, it would
// bring back deleted keys, so that it must be discarded and must not count as a confirmation.
func TestStaleListingIsDiscarded(t *testing.T) {
	is := is.New(t)
	s, f, r := startFollower(t)
	s.Put(string(topic), "config", []byte("old"))
	waitFor(t, "the first value", func() bool { return r.get("config") == "old" })
	s.Put(string(topic), "config", []byte("new"))
	waitFor(t, "the second value", func() bool { return r.get("config") == "new" })
	s.UpdateFaults(func(sw *metastore.Faults) { sw.StaleReads = true })
	s.Compact(string(topic))
	s.Put(string(topic), "other", []byte("x"))
	s.Compact(string(topic))
	time.Sleep(250 * time.Millisecond)
	is.Equal(r.get("config"), "new")
	s.UpdateFaults(func(sw *metastore.Faults) { sw.StaleReads = false })
	waitFor(t, "the other key", func() bool { return r.get("other") == "x" })
	age, ok := f.Age()
	is.True(ok)
	is.True(age < time.Second)
}

// While the store doesn't answer, the age must grow, on a clock that also advances while the
// machine is suspended.
func TestAgeGrowsWhileStoreIsSilent(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	shift := time.Duration(0)
	clock := func() boottime.Time {
		mu.Lock()
		defer mu.Unlock()
		return boottime.Now().Add(shift)
	}
	s, f, r := startFollower(t, follow.WithClock(clock))
	_, ok := f.Age()
	is.True(!ok)
	s.Put(string(topic), "a", []byte("1"))
	waitFor(t, "the first value", func() bool { return r.get("a") == "1" })
	s.UpdateFaults(func(sw *metastore.Faults) { sw.Hang = true })
	mu.Lock()
	shift = 10 * time.Second
	mu.Unlock()
	age, _ := f.Age()
	is.True(age >= 9*time.Second)
	waitFor(t, "the loss of contact", f.Unavailable)
	s.UpdateFaults(func(sw *metastore.Faults) { sw.Hang = false })
	waitFor(t, "the regained contact", func() bool {
		age, _ := f.Age()
		return age < time.Second
	})
}

// A confirmation dates from before its call was sent: a store that takes a second to answer may
// have read the topic a second before a key was deleted.
func TestAgeCountsFromBeforeTheCall(t *testing.T) {
	is := is.New(t)
	s, f, r := startFollower(t)
	s.Put(string(topic), "a", []byte("1"))
	waitFor(t, "the first value", func() bool { return r.get("a") == "1" })
	s.UpdateFaults(func(sw *metastore.Faults) { sw.Delay = 400 * time.Millisecond })
	time.Sleep(1500 * time.Millisecond)
	age, _ := f.Age()
	is.True(age >= 400*time.Millisecond)
}

// A follower that gets hints takes the changes and the age from them and doesn't poll the store;
// without hints it polls again.
func TestHintsReplacePolls(t *testing.T) {
	is := is.New(t)
	s, f, r := startFollower(t)
	s.Put(string(topic), "a", []byte("1"))
	waitFor(t, "the first value", func() bool { return r.get("a") == "1" })
	from, ok := f.Position()
	is.True(ok)
	var tail follow.Tail
	tail.Add(galenastair.KeyedBatch{Next: from, End: from}, true)
	record := galenastair.KeyedRecord{Key: "a", Value: []byte("2"), Offset: from}
	tail.Add(galenastair.KeyedBatch{Records: []galenastair.KeyedRecord{record}, Next: from + 1, End: from + 1}, false)
	notify := func() {
		at, _ := f.Position()
		f.Notify(follow.Hint{KeyedBatch: tail.Since(at), ConfirmedAt: boottime.Now()})
	}
	// a poll may still be in flight
	notify()
	waitFor(t, "the change from the hint", func() bool { notify(); return r.get("a") == "2" })
	calls := s.CallCount("/v1/log-read")
	for range 30 {
		notify()
		time.Sleep(20 * time.Millisecond)
	}
	is.True(s.CallCount("/v1/log-read")-calls <= 1)
	age, _ := f.Age()
	is.True(age < 200*time.Millisecond)
	s.Put(string(topic), "a", []byte("3"))
	s.Put(string(topic), "a", []byte("4"))
	waitFor(t, "the change from the store", func() bool { return r.get("a") == "4" })
}

// Hints with changes in another form than records must replace polls too, also if the follower
// has already read further than the hint. Otherwise each change costs a call to the store, and a
// follower that is ahead of the hints polls without end.
func TestChangesInHintsReplacePolls(t *testing.T) {
	is := is.New(t)
	s, f, r := startFollower(t)
	s.Put(string(topic), "a", []byte("1"))
	waitFor(t, "the first value", func() bool { return r.get("a") == "1" })
	at, _ := f.Position()
	var applied atomic.Int64
	notify := func(end galenastair.Offset) {
		f.Notify(follow.Hint{KeyedBatch: galenastair.KeyedBatch{Next: at, End: end}, ConfirmedAt: boottime.Now(), ApplyChanges: func() { applied.Add(1) }})
	}
	noCalls := func(end galenastair.Offset) bool {
		calls := s.CallCount("/v1/log-read")
		for range 15 {
			notify(end)
			time.Sleep(20 * time.Millisecond)
		}
		return s.CallCount("/v1/log-read") == calls
	}
	waitFor(t, "the end of the poll in flight", func() bool { return noCalls(at + 1) })
	is.Equal(applied.Load(), int64(1))
	is.True(noCalls(at + 1))
	is.True(noCalls(at))
	age, _ := f.Age()
	is.True(age < 200*time.Millisecond)
}

// Hints leave out records that only the leader needs. A new leader must list the topic again, or
// it would never read them.
func TestResyncListsAgain(t *testing.T) {
	s, f, r := startFollower(t)
	s.Put(string(topic), "a", []byte("1"))
	waitFor(t, "the first value", func() bool { return r.get("a") == "1" })
	newest := s.CallCount("/v1/log-newest")
	f.Resync()
	waitFor(t, "a new listing", func() bool { return s.CallCount("/v1/log-newest") > newest })
}

// The instance that sends hints has lost the store itself. Its old confirmation must not make
// another instance's data look fresh.
func TestOldHintConfirmsNothing(t *testing.T) {
	is := is.New(t)
	s, f, r := startFollower(t)
	s.Put(string(topic), "a", []byte("1"))
	waitFor(t, "the first value", func() bool { return r.get("a") == "1" })
	s.UpdateFaults(func(sw *metastore.Faults) { sw.Refuse = true })
	waitFor(t, "the loss of contact", f.Unavailable)
	at, _ := f.Position()
	for range 20 {
		f.Notify(follow.Hint{KeyedBatch: galenastair.KeyedBatch{Next: at, End: at}, ConfirmedAt: boottime.Now().Add(-5 * time.Second)})
		time.Sleep(10 * time.Millisecond)
	}
	is.True(f.Unavailable())
	age, _ := f.Age()
	is.True(age >= 200*time.Millisecond)
}

// A tail returns the records from an offset on, none across a gap, and no large record.
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

// Many versions of a large record are written in a row. If the tail kept them all, only the last
// few would fit, and an instance that is further behind would get none.
func TestTailKeepsNewestRecordOfEachKey(t *testing.T) {
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
	// a tail that is filled from another tail
	next.Add(source.AllSince(3), false)
	for _, tail := range []*follow.Tail{&source, &next} {
		b := tail.AllSince(5)
		is.Equal(len(b.Records), 1)
		is.Equal(b.Records[0].Value[0], byte(versions-1))
		is.Equal(b.From(), galenastair.Offset(5))
		is.Equal(b.Next, galenastair.Offset(3+versions))
		is.Equal(len(tail.Since(5).Records), 0)
		is.Equal(tail.Since(5).Next, galenastair.Offset(5))
	}
}

// A hint that leaves out superseded records advances the follower past them.
func TestHintSkipsSupersededRecords(t *testing.T) {
	is := is.New(t)
	s, f, r := startFollower(t)
	s.Put(string(topic), "a", []byte("1"))
	waitFor(t, "the first value", func() bool { return r.get("a") == "1" })
	from, _ := f.Position()
	var tail follow.Tail
	tail.Add(galenastair.KeyedBatch{Next: from, End: from}, true)
	for i, value := range []string{"2", "3", "4"} {
		at := from + galenastair.Offset(i) + 1
		tail.Add(galenastair.KeyedBatch{Records: []galenastair.KeyedRecord{{Key: "a", Value: []byte(value)}}, Next: at, End: at}, false)
	}
	waitFor(t, "the newest value", func() bool {
		f.Notify(follow.Hint{KeyedBatch: tail.Since(from), ConfirmedAt: boottime.Now()})
		return r.get("a") == "4"
	})
	at, _ := f.Position()
	is.Equal(at, from+3)
}

// Records are written faster than they reach the instances, so that none ever has them all. A
// follower whose records are recent enough must not poll the store for each new one.
func TestHintsReplacePollsDuringFrequentWrites(t *testing.T) {
	is := is.New(t)
	s, f, r := startFollower(t)
	s.Put(string(topic), "a", []byte("1"))
	waitFor(t, "the first value", func() bool { return r.get("a") == "1" })
	at, _ := f.Position()
	notify := func(behind time.Duration) {
		now := boottime.Now()
		f.Notify(follow.Hint{KeyedBatch: galenastair.KeyedBatch{Next: at, End: at + 1}, ConfirmedAt: now, StartConfirmedAt: now.Add(-behind), Wait: true})
	}
	noCalls := func(behind time.Duration) bool {
		calls := s.CallCount("/v1/log-read")
		for range 100 {
			notify(behind)
			time.Sleep(20 * time.Millisecond)
		}
		return s.CallCount("/v1/log-read") == calls
	}
	waitFor(t, "the end of the poll in flight", func() bool {
		notify(0)
		calls := s.CallCount("/v1/log-read")
		time.Sleep(120 * time.Millisecond)
		return s.CallCount("/v1/log-read") == calls
	})
	is.True(noCalls(500 * time.Millisecond))
	age, _ := f.Age()
	is.True(age >= 500*time.Millisecond && age < time.Second)
	// records that are too old don't replace a poll
	is.True(!noCalls(3 * time.Second))
}
