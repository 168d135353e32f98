package stream

import (
	"sync"
	"time"
)

// maxRecords bounds a Table to some 20 MB. It is the number of streams that begin in a minute and a
// half in a region of 53 instances.
const maxRecords = 1 << 18

// pruneInterval is the interval at which expired records are removed.
const pruneInterval = 5 * time.Second

// Table holds records until their streams can no longer be resumed. It is safe for concurrent use.
type Table struct {
	mu       sync.Mutex
	records  map[Key]entry
	prunedAt time.Time
}

type entry struct {
	origin    Origin
	expiresAt time.Time
}

// NewTable returns an empty Table.
func NewTable() *Table { return &Table{records: map[Key]entry{}} }

// Add adds records. A record whose stream is known only extends its time.
func (t *Table) Add(now time.Time, records ...Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.prune(now)
	for _, r := range records {
		e, known := t.records[r.Key]
		if !known && len(t.records) >= maxRecords {
			continue
		}
		if !known || !now.Before(e.expiresAt) {
			e = entry{origin: r.Origin}
		}
		if end := now.Add(r.TimeLeft); end.After(e.expiresAt) {
			e.expiresAt = end
		}
		t.records[r.Key] = e
	}
}

// Find returns the origin of a stream.
func (t *Table) Find(now time.Time, k Key) (Origin, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.records[k]
	return e.origin, ok && now.Before(e.expiresAt)
}

// Len returns the number of records.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.records)
}

func (t *Table) prune(now time.Time) {
	if now.Sub(t.prunedAt) < pruneInterval {
		return
	}
	t.prunedAt = now
	for k, e := range t.records {
		if !now.Before(e.expiresAt) {
			delete(t.records, k)
		}
	}
}

// Records returns all records that have not expired.
func (t *Table) Records(now time.Time) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]Record, 0, len(t.records))
	for k, e := range t.records {
		if left := e.expiresAt.Sub(now); left > 0 {
			out = append(out, Record{k, e.origin, left})
		}
	}
	return out
}
