package follow

import (
	"math"
	"sync"

	"galenastair"
)

const (
	// tailRecords and tailBytes bound what is kept of a topic to pass on: some seconds
	// of the changes of a large fleet.
	tailRecords = 512
	tailBytes   = 256 << 10
	// largestPassed is the largest record that is passed on: a longer one is cheaper
	// read by each instance from the store than sent to each from one.
	largestPassed = 4 << 10
)

// Tail is the end of a topic as one instance has read it, for others.
type Tail struct {
	mu      sync.Mutex
	records []galenastair.KeyedRecord
	size    int
	from    galenastair.Offset
	next    galenastair.Offset
}

// Add takes in a batch that was applied.
func (t *Tail) Add(b galenastair.KeyedBatch, whole bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if whole || t.next+galenastair.Offset(len(b.Records)) != b.Next {
		t.records, t.size, t.from, t.next = nil, 0, b.Next, b.Next
		return
	}
	for _, r := range b.Records {
		t.records = append(t.records, r)
		t.size += len(r.Value)
	}
	t.next = b.Next
	for len(t.records) > tailRecords || t.size > tailBytes {
		t.size -= len(t.records[0].Value)
		t.records = t.records[1:]
		t.from++
	}
}

// Since returns the records from an offset on, as far as they are kept and small.
func (t *Tail) Since(from galenastair.Offset) galenastair.KeyedBatch {
	return t.since(from, largestPassed)
}

// All returns the records from an offset on, as far as they are kept.
func (t *Tail) All(from galenastair.Offset) galenastair.KeyedBatch { return t.since(from, math.MaxInt) }

func (t *Tail) since(from galenastair.Offset, largest int) galenastair.KeyedBatch {
	t.mu.Lock()
	defer t.mu.Unlock()
	b := galenastair.KeyedBatch{Next: from, End: t.next}
	if from < t.from || from > t.next {
		return b
	}
	for _, r := range t.records[from-t.from:] {
		if len(r.Value) > largest {
			break
		}
		b.Records = append(b.Records, r)
		b.Next++
	}
	return b
}
