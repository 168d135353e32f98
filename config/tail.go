package config

import (
	"sync"

	"galenastair"
)

const (
	// maxTailRecords and maxTailBytes bound the records kept for peers that lag while the
	// log is down. 1,024 records cover more than five hours at 4,500 changes a day; 1 MB is
	// a sixtieth of the memory that control may use. Peers that need older records fetch a
	// snapshot.
	maxTailRecords = 1024
	maxTailBytes   = 1 << 20
)

// tail keeps the most recently applied records for peers.
type tail struct {
	mu      sync.Mutex
	records []galenastair.LogRecord
	bytes   int
	next    galenastair.Offset
}

func newTail() *tail { return &tail{next: firstOffset} }

func (t *tail) add(rec galenastair.LogRecord) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.records = append(t.records, rec)
	t.bytes += len(rec.Data)
	t.next = rec.Offset + 1
	for len(t.records) > maxTailRecords || t.bytes > maxTailBytes {
		t.bytes -= len(t.records[0].Data)
		t.records = t.records[1:]
	}
}

// reset drops all records; it is called when the state machine was replaced by a snapshot.
func (t *tail) reset(next galenastair.Offset) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.records, t.bytes, t.next = nil, 0, next
}

// read returns the kept records from an offset on. First is the offset of the oldest kept
// record, or Next if there is none; records are missing if it is higher than from.
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
