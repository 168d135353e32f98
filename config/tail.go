package config

import (
	"sync"

	"galenastair"
)

const (
	// tailRecords and tailBytes bound the records kept for instances that lag
	// while the log is down. 1,024 are over five hours of changes at 4,500 a day;
	// one megabyte is a sixtieth of what control may use. Whoever needs older ones
	// takes the whole fold.
	tailRecords = 1024
	tailBytes   = 1 << 20
)

// tail keeps the last folded records for peers.
type tail struct {
	mu      sync.Mutex
	records []galenastair.LogRecord
	size    int
	next    galenastair.Offset
}

func newTail() *tail { return &tail{next: firstOffset} }

func (t *tail) add(rec galenastair.LogRecord) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.records = append(t.records, rec)
	t.size += len(rec.Data)
	t.next = rec.Offset + 1
	for len(t.records) > tailRecords || t.size > tailBytes {
		t.size -= len(t.records[0].Data)
		t.records = t.records[1:]
	}
}

// reset forgets all records, since the fold went on from a snapshot.
func (t *tail) reset(next galenastair.Offset) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.records, t.size, t.next = nil, 0, next
}

// read returns the kept records from an offset on; First tells if some are missing.
func (t *tail) read(from galenastair.Offset) galenastair.Batch {
	t.mu.Lock()
	defer t.mu.Unlock()
	b := galenastair.Batch{First: t.next, Next: t.next}
	if len(t.records) > 0 {
		b.First = t.records[0].Offset
	}
	for _, rec := range t.records {
		if rec.Offset >= from {
			b.Records = append(b.Records, rec)
		}
	}
	return b
}
