package follow

import (
	"math"
	"slices"
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

// Tail is the end of a topic as one instance has read it, for others: the newest record of
// each key, so that whoever is many versions behind is sent one.
type Tail struct {
	mu      sync.Mutex
	records []galenastair.KeyedRecord
	size    int
	// from is the first offset that this tail reaches back to.
	from galenastair.Offset
	next galenastair.Offset
}

// Add takes in a batch that was applied.
func (t *Tail) Add(b galenastair.KeyedBatch, whole bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if whole || b.From() != t.next {
		t.records, t.size, t.from, t.next = nil, 0, b.Next, b.Next
		return
	}
	for i, r := range b.Records {
		if b.Skipped == 0 {
			r.Offset = t.next + galenastair.Offset(i)
		}
		t.replace(r)
	}
	t.next = b.Next
	for len(t.records) > tailRecords || t.size > tailBytes {
		t.from = t.records[0].Offset + 1
		t.remove(0)
	}
}

// replace adds a record in place of the one that it supersedes.
func (t *Tail) replace(r galenastair.KeyedRecord) {
	old := slices.IndexFunc(t.records, func(o galenastair.KeyedRecord) bool { return o.Key == r.Key })
	if old >= 0 {
		t.remove(old)
	}
	t.records = append(t.records, r)
	t.size += len(r.Value)
}

func (t *Tail) remove(i int) {
	t.size -= len(t.records[i].Value)
	t.records = slices.Delete(t.records, i, i+1)
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
	b.Next = t.next
	for _, r := range t.records {
		if r.Offset < from {
			continue
		}
		if len(r.Value) > largest {
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
