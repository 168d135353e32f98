package follow

import (
	"math"
	"slices"
	"sync"

	"galenastair"
)

const (
	// maxTailRecords and maxTailBytes bound the records that are kept for other instances.
	// They hold some seconds of the changes of a large fleet.
	maxTailRecords = 512
	maxTailBytes   = 256 << 10
	// maxForwardedBytes is the largest record that is sent to other instances. For a larger
	// one, a read of the store by each instance costs less than sending it to all from one.
	maxForwardedBytes = 4 << 10
)

// Tail keeps the end of a topic as one instance has read it, to be sent to other instances. It
// keeps only the newest record of each key, so that an instance that is many versions of a key
// behind is sent one record.
type Tail struct {
	mu      sync.Mutex
	records []galenastair.KeyedRecord
	size    int
	// first is the lowest offset that the tail covers.
	first galenastair.Offset
	next  galenastair.Offset
}

// Add adds a batch that was applied. After a snapshot, or a batch that doesn't continue the tail,
// the tail is empty and starts at the batch's end.
func (t *Tail) Add(b galenastair.KeyedBatch, snapshot bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if snapshot || b.From() != t.next {
		t.records, t.size, t.first, t.next = nil, 0, b.Next, b.Next
		return
	}
	for i, r := range b.Records {
		if b.Skipped == 0 {
			r.Offset = t.next + galenastair.Offset(i)
		}
		t.replace(r)
	}
	t.next = b.Next
	for len(t.records) > maxTailRecords || t.size > maxTailBytes {
		t.first = t.records[0].Offset + 1
		t.removeAt(0)
	}
}

// replace adds a record and removes the previous one with its key.
func (t *Tail) replace(r galenastair.KeyedRecord) {
	old := slices.IndexFunc(t.records, func(o galenastair.KeyedRecord) bool { return o.Key == r.Key })
	if old >= 0 {
		t.removeAt(old)
	}
	t.records = append(t.records, r)
	t.size += len(r.Value)
}

func (t *Tail) removeAt(i int) {
	t.size -= len(t.records[i].Value)
	t.records = slices.Delete(t.records, i, i+1)
}

// Since returns the kept records from an offset on, up to the first that is larger than
// maxForwardedBytes.
func (t *Tail) Since(from galenastair.Offset) galenastair.KeyedBatch {
	return t.since(from, maxForwardedBytes)
}

// AllSince returns the kept records from an offset on, whatever their size.
func (t *Tail) AllSince(from galenastair.Offset) galenastair.KeyedBatch {
	return t.since(from, math.MaxInt)
}

func (t *Tail) since(from galenastair.Offset, maxBytes int) galenastair.KeyedBatch {
	t.mu.Lock()
	defer t.mu.Unlock()
	b := galenastair.KeyedBatch{Next: from, End: t.next}
	if from < t.first || from > t.next {
		return b
	}
	b.Next = t.next
	for _, r := range t.records {
		if r.Offset < from {
			continue
		}
		if len(r.Value) > maxBytes {
			b.Next = from
			if n := len(b.Records); n > 0 {
				b.Next = b.Records[n-1].Offset + 1
			}
			break
		}
		b.Records = append(b.Records, r)
	}
	b.Skipped = b.Next - from - galenastair.Offset(len(b.Records))
	return b
}
