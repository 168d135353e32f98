package stream

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"galenastair"
)

// storeAddress names the store among the recorders of a journal's outbox.
const storeAddress = "store"

// cleanupInterval is how long expired segments may stay while there is nothing else to write.
const cleanupInterval = 5 * time.Second

// SegmentKey is the key of a segment in the journal's topic.
type SegmentKey string

// JournalWrite is what one call to the store writes.
type JournalWrite struct {
	// Key and Records are a new segment; without records there is none.
	Key     SegmentKey
	Records []Record
	// Expired are segments to delete.
	Expired []SegmentKey
	batch   Batch
}

// IsEmpty reports whether there is nothing to write.
func (w JournalWrite) IsEmpty() bool { return len(w.Records) == 0 && len(w.Expired) == 0 }

// Journal is one instance's part in keeping records in the store, from which recorders take them after
// all instances have ended. One recorder of a region writes at a time. Only streams of services that have
// had several software versions are written: where the others began is known without. It is safe for
// concurrent use.
type Journal struct {
	self  string
	table *Table

	mu sync.Mutex
	// outbox is nil unless this instance writes.
	outbox   *Outbox
	services map[galenastair.ServiceName]bool
	timeline galenastair.Timeline
	sequence int64
	// segments has the times at which the segments in the store expire.
	segments  map[SegmentKey]time.Time
	writtenAt time.Time
}

// NewJournal returns the journal of an instance with records in a table. The instance does not write yet.
// self differs between all processes.
func NewJournal(self string, t *Table) *Journal {
	return &Journal{self: self, table: t, segments: map[SegmentKey]time.Time{}}
}

// Writes reports whether this instance writes the records of a timeline of the store.
func (j *Journal) Writes(t galenastair.Timeline) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.outbox != nil && j.timeline == t
}

// Begin has this instance write, from all records that it holds. They may be in the store already, but a
// former writer may have ended before it wrote them, or the store may have lost them. loaded are the
// segments that the store has.
func (j *Journal) Begin(now time.Time, t galenastair.Timeline, loaded map[SegmentKey]time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.outbox, j.services, j.timeline, j.writtenAt = NewOutbox(j.self), map[galenastair.ServiceName]bool{}, t, now
	j.outbox.SetRecorders(now, []string{storeAddress})
	for key, left := range loaded {
		j.segments[key] = now.Add(left)
	}
}

// End has this instance write no more.
func (j *Journal) End() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.outbox = nil
	clear(j.segments)
}

// SetServices sets the services whose streams are written.
func (j *Journal) SetServices(now time.Time, services []galenastair.ServiceName) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.outbox == nil {
		return
	}
	before := j.services
	j.services = map[galenastair.ServiceName]bool{}
	var added []galenastair.ServiceName
	for _, s := range services {
		j.services[s] = true
		if !before[s] {
			added = append(added, s)
		}
	}
	if len(added) == 0 {
		return
	}
	for _, r := range j.table.Records(now) {
		if slices.Contains(added, r.Origin.Service) {
			j.outbox.Add(now, r)
		}
	}
}

// Add adds records that the table has got.
func (j *Journal) Add(now time.Time, records ...Record) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.outbox == nil {
		return
	}
	for _, r := range records {
		if j.services[r.Origin.Service] {
			j.outbox.Add(now, r)
		}
	}
}

// Next returns what to write now.
func (j *Journal) Next(now time.Time) JournalWrite {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.outbox == nil {
		return JournalWrite{}
	}
	w := JournalWrite{batch: j.outbox.Batches(now)[storeAddress]}
	w.Records = w.batch.Records
	if len(w.Records) == 0 && now.Sub(j.writtenAt) < cleanupInterval {
		return w
	}
	for key, end := range j.segments {
		if !now.Before(end) {
			w.Expired = append(w.Expired, key)
		}
	}
	if len(w.Records) > 0 {
		j.sequence++
		w.Key = SegmentKey(fmt.Sprintf("%s/%d", j.self, j.sequence))
		// the store may have it although the call fails
		j.segments[w.Key] = now.Add(Longest(w.Records))
	}
	return w
}

// Longest returns the longest time for which one of the streams may still be resumed.
func Longest(records []Record) time.Duration {
	var left time.Duration
	for _, r := range records {
		left = max(left, r.TimeLeft)
	}
	return left
}

// Written records that the store has made a write.
func (j *Journal) Written(now time.Time, w JournalWrite) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.writtenAt = now
	for _, key := range w.Expired {
		delete(j.segments, key)
	}
	if j.outbox != nil && len(w.Records) > 0 {
		j.outbox.Confirm(storeAddress, w.batch, Incarnation(j.timeline)+1)
	}
}
