package stream

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"galenastair"
)

var start = time.Unix(1000, 0)

func record(id string) Record {
	return Record{KeyOf(galenastair.RequestID(id)), Origin{"writer", "v1"}, 10 * time.Second}
}

// Guards against a stream that goes on at a version that is merely the only one which this instance knows.
func TestUnknownStreamNeedsTheOnlyVersion(t *testing.T) {
	v1, v2 := []galenastair.SoftwareVersion{"v1"}, []galenastair.SoftwareVersion{"v2"}
	for name, c := range map[string]struct {
		answers  []Answer
		complete bool
		known    bool
	}{
		"only version":             {[]Answer{{Versions: v1, Fresh: true}, {Versions: v1}}, true, true},
		"another has had more":     {[]Answer{{Versions: v1, Fresh: true}, {Versions: v2}}, true, false},
		"no view is fresh":         {[]Answer{{Versions: v1}, {Versions: v1}}, true, false},
		"one has not answered":     {[]Answer{{Versions: v1, Fresh: true}}, false, false},
		"no server is known":       {[]Answer{{Fresh: true}}, true, false},
		"one knows, others do not": {[]Answer{{Versions: v2, Fresh: true}, {Known: true, Origin: Origin{"writer", "v1"}}}, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			origin, err := Resolve("writer", c.answers, c.complete)
			is.Equal(err == nil, c.known)
			if c.known {
				is.Equal(origin, Origin{"writer", "v1"})
			}
		})
	}
}

// Guards against records that a recorder has lost by a restart, or that it gets on and on.
func TestRecorderGetsRecordsAgainAfterARestart(t *testing.T) {
	is := is.New(t)
	o := NewOutbox()
	o.SetRecorders(start, []string{"a", "b"})
	o.Add(start, record("r1"))
	deliver := func(process Incarnation) int {
		b := o.Batches(start)["a"]
		if len(b.Records) > 0 {
			o.Confirm("a", b, process)
		}
		return len(b.Records)
	}
	is.Equal(deliver(1), 1)
	is.Equal(deliver(1), 0)
	o.Add(start, record("r2"))
	is.Equal(deliver(2), 1)
	is.Equal(deliver(2), 2)
	is.Equal(deliver(2), 0)
	is.Equal(len(o.Batches(start)["b"].Records), 2)
}

// Guards against streams that are forgotten when the leader names other recorders.
func TestNewRecorderGetsAllRecords(t *testing.T) {
	is := is.New(t)
	o := NewOutbox()
	o.SetRecorders(start, []string{"a"})
	o.Add(start, record("r1"))
	o.Confirm("a", o.Batches(start)["a"], 1)
	o.SetRecorders(start, []string{"b"})
	is.Equal(len(o.Batches(start)["b"].Records), 1)
	is.Equal(len(o.Batches(start.Add(10*time.Second))), 0)
	asked, named := o.Recorders()
	is.True(named)
	is.Equal(len(asked), 2)
	o.SetRecorders(start.Add(recorderMemory+1), []string{"b"})
	asked, _ = o.Recorders()
	is.Equal(asked, []string{"b"})
}

// Guards against a recorder that gets nothing more, as the records that it lacks have expired.
func TestExpiredRecordsHoldUpNoBatch(t *testing.T) {
	is := is.New(t)
	o := NewOutbox()
	o.SetRecorders(start, []string{"a"})
	long := record("long")
	long.TimeLeft = time.Hour
	o.Add(start, long)
	o.Confirm("a", o.Batches(start)["a"], 1)
	for i := range maxBatch {
		o.Add(start, Record{Key: Key(i), TimeLeft: time.Second})
	}
	now := start.Add(time.Minute)
	o.Add(now, record("r1"))
	o.Batches(now)
	is.Equal(len(o.Batches(now)["a"].Records), 1)
}

// Guards against a memory that grows with the streams of an instance, or records that a recorder lacks.
func TestOutboxDeliversAllRecordsThatHaveNotExpired(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o, now := NewOutbox(), start
		o.SetRecorders(now, []string{"a"})
		held, due := NewTable(), map[Key]time.Time{}
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				r := record(fmt.Sprint(i))
				r.TimeLeft = time.Duration(rapid.IntRange(1, 5).Draw(t, "left")) * time.Second
				o.Add(now, r)
				due[r.Key] = now.Add(r.TimeLeft)
			case 2:
				now = now.Add(time.Second)
			case 3:
				b := o.Batches(now)["a"]
				held.Add(now, b.Records...)
				o.Confirm("a", b, 1)
			}
		}
		held.Add(now, o.Batches(now)["a"].Records...)
		for k, end := range due {
			if _, ok := held.Find(now, k); ok != now.Before(end) {
				t.Fatalf("record found: %t, expires in %s", ok, end.Sub(now))
			}
		}
	})
}

// Guards against a table that grows without bound.
func TestTableIsBounded(t *testing.T) {
	is := is.New(t)
	table := NewTable()
	for i := range maxRecords + 10 {
		table.Add(start, Record{Key: Key(i), TimeLeft: time.Second})
	}
	is.Equal(table.Len(), maxRecords)
	table.Add(start.Add(pruneInterval), record("r1"))
	is.Equal(table.Len(), 1)
}
