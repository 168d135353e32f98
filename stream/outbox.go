package stream

import (
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// maxBatch is the number of records that one message holds at most.
	maxBatch = 4096
	// maxPending is the number of records that are kept for recorders at most.
	maxPending = 1 << 16
	// recorderMemory is how long a recorder that the leader no longer names is still asked.
	recorderMemory = 30 * time.Second
)

// Incarnation identifies a process of a recorder, which has lost the records of the one before it.
type Incarnation int64

// Outbox holds the records of this instance until all recorders have them. A recorder that is named
// later, or that has restarted, gets all that have not expired. It is safe for concurrent use.
type Outbox struct {
	mu        sync.Mutex
	pending   []pendingRecord
	sequence  int64
	recorders map[string]*recorder
	// current are the recorders that the leader has named last, and named is set once it has; they may
	// be none.
	current []string
	named   bool
}

type pendingRecord struct {
	record    Record
	sequence  int64
	expiresAt time.Time
}

// recorder is an instance that keeps records for others.
type recorder struct {
	// delivered is the sequence number of the last record that it has confirmed.
	delivered   int64
	incarnation Incarnation
	named       bool
	namedAt     time.Time
}

// Batch is a number of records for one recorder.
type Batch struct {
	Records []Record
	last    int64
}

// NewOutbox returns an empty Outbox.
func NewOutbox() *Outbox { return &Outbox{recorders: map[string]*recorder{}} }

// Add adds a record for all recorders.
func (o *Outbox) Add(now time.Time, r Record) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for len(o.pending) > 0 && (len(o.pending) >= maxPending || !now.Before(o.pending[0].expiresAt)) {
		o.pending = o.pending[1:]
	}
	o.sequence++
	o.pending = append(o.pending, pendingRecord{r, o.sequence, now.Add(r.TimeLeft)})
}

// SetRecorders replaces the recorders that get records.
func (o *Outbox) SetRecorders(now time.Time, addresses []string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.current, o.named = addresses, true
	for address, r := range o.recorders {
		r.named = slices.Contains(addresses, address)
		if !r.named && now.Sub(r.namedAt) > recorderMemory {
			delete(o.recorders, address)
		}
	}
	for _, address := range addresses {
		r := o.recorders[address]
		if r == nil {
			r = &recorder{}
			o.recorders[address] = r
		}
		r.named, r.namedAt = true, now
	}
}

// Named returns the recorders that get records, in the order in which the leader names them.
func (o *Outbox) Named() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.current
}

// Recorders returns the addresses of all recorders that may know a stream. It returns false as long as
// the leader has named none.
func (o *Outbox) Recorders() ([]string, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Collect(maps.Keys(o.recorders)), o.named
}

// Batches returns the records that each recorder lacks.
func (o *Outbox) Batches(now time.Time) map[string]Batch {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := map[string]Batch{}
	for address, r := range o.recorders {
		b := o.batch(now, r.delivered)
		switch {
		case len(b.Records) == 0:
			r.delivered = b.last
		case r.named:
			out[address] = b
		}
	}
	return out
}

func (o *Outbox) batch(now time.Time, delivered int64) Batch {
	start, _ := slices.BinarySearchFunc(o.pending, delivered+1, func(p pendingRecord, n int64) int { return int(p.sequence - n) })
	b := Batch{last: delivered}
	for _, p := range o.pending[start:min(len(o.pending), start+maxBatch)] {
		b.last = p.sequence
		if left := p.expiresAt.Sub(now); left > 0 {
			p.record.TimeLeft = left
			b.Records = append(b.Records, p.record)
		}
	}
	return b
}

// Confirm records that a process of a recorder has the records of a batch.
func (o *Outbox) Confirm(address string, b Batch, process Incarnation) {
	o.mu.Lock()
	defer o.mu.Unlock()
	r := o.recorders[address]
	switch {
	case r == nil:
	case r.incarnation != process && r.incarnation != 0:
		// the records before this batch are lost
		r.delivered, r.incarnation = 0, process
	default:
		r.delivered, r.incarnation = b.last, process
	}
}
