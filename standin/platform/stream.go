package platform

import (
	"sync"
	"time"

	"galenastair"
)

const (
	// maxRecords and maxBytes limit one read, so that a long stream is read in several
	// batches. maxBytes also limits one appended record.
	maxRecords = 500
	maxBytes   = 4 << 20
)

type storedRecord struct {
	galenastair.LogRecord
	at time.Time
}

// stream is an append-only sequence of records.
type stream struct {
	mu       sync.Mutex
	records  []storedRecord
	next     galenastair.Offset
	appended chan struct{}
}

func newStream() *stream {
	return &stream{next: 1, appended: make(chan struct{})}
}

func (s *stream) append(now time.Time, data []byte) galenastair.Offset {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := galenastair.LogRecord{Offset: s.next, Data: data}
	s.records = append(s.records, storedRecord{r, now})
	s.next++
	close(s.appended)
	s.appended = make(chan struct{})
	return r.Offset
}

// expire removes records beyond the retention limits.
func (s *stream) expire(now time.Time, faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	drop := 0
	for i, r := range s.records {
		tooMany := faults.KeepRecords > 0 && len(s.records)-i > faults.KeepRecords
		tooOld := faults.KeepFor > 0 && now.Sub(r.at) > faults.KeepFor
		if !tooMany && !tooOld {
			break
		}
		drop = i + 1
	}
	s.records = s.records[drop:]
}

// read returns the records from an offset on, and a channel that is closed at the next
// append.
func (s *stream) read(from galenastair.Offset) (galenastair.Batch, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := galenastair.Batch{Next: s.next, First: s.next - galenastair.Offset(len(s.records))}
	size := 0
	for i := max(0, int(from-b.First)); i < len(s.records); i++ {
		size += len(s.records[i].Data)
		if len(b.Records) == maxRecords || size > maxBytes && len(b.Records) > 0 {
			break
		}
		b.Records = append(b.Records, s.records[i].LogRecord)
	}
	return b, s.appended
}
