package stream

import (
	"cmp"
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
	// recorderOverlap is how long it still gets records. A new leader names few recorders until all
	// instances have reported to it.
	recorderOverlap = 2 * time.Second
)

// Incarnation identifies a process of a recorder, which has lost the records of the one before it.
type Incarnation int64

// Outbox holds the records of this instance until all other recorders have them. A recorder that is named
// later, or that has restarted, gets all that have not expired. It is safe for concurrent use.
type Outbox struct {
	self      string
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
	urgent    bool
	// recorded is closed once a recorder has the record; nil if none waits for it.
	recorded chan struct{}
}

// recorder is an instance that keeps records for others.
type recorder struct {
	// delivered is the sequence number of the last record that it has confirmed.
	delivered   int64
	incarnation Incarnation
	named       bool
	namedAt     time.Time
	// sending is set while a batch is on its way, and failed if it has not confirmed the last one.
	sending, failed bool
	sentAt          time.Time
}

// Batch is a number of records for one recorder.
type Batch struct {
	Records []Record
	first   int64
	last    int64
	urgent  bool
}

// NewOutbox returns an empty Outbox of the instance with an address, which needs no records of its own.
func NewOutbox(self string) *Outbox { return &Outbox{self: self, recorders: map[string]*recorder{}} }

// Add adds a record for all recorders.
func (o *Outbox) Add(now time.Time, r Record) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.add(now, r, nil)
}

// AddUrgent adds a record that is sent without delay. The channel is closed once a recorder has it; it is
// nil if no recorder can be reached.
func (o *Outbox) AddUrgent(now time.Time, r Record) <-chan struct{} {
	o.mu.Lock()
	defer o.mu.Unlock()
	recorded := make(chan struct{})
	o.add(now, r, recorded)
	if !o.named {
		return recorded
	}
	for _, r := range o.recorders {
		if r.named && !r.failed {
			return recorded
		}
	}
	return nil
}

func (o *Outbox) add(now time.Time, r Record, recorded chan struct{}) {
	for len(o.pending) > 0 && (len(o.pending) >= maxPending || !now.Before(o.pending[0].expiresAt)) {
		o.pending = o.pending[1:]
	}
	o.sequence++
	o.pending = append(o.pending, pendingRecord{r, o.sequence, now.Add(r.TimeLeft), recorded != nil, recorded})
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
		if address == o.self {
			continue
		}
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
	return o.batches(now)
}

func (o *Outbox) batches(now time.Time) map[string]Batch {
	out := map[string]Batch{}
	for address, r := range o.recorders {
		b := o.batch(now, r.delivered)
		switch {
		case len(b.Records) == 0:
			r.delivered = b.last
		case r.named || now.Sub(r.namedAt) < recorderOverlap:
			out[address] = b
		}
	}
	return out
}

// Send returns the batches that are due, and the time until others are unless a record is added or a batch
// ends before. A recorder gets one batch at a time: one with urgent records at once, unless it failed to
// confirm the one before, and others interval after the one before.
func (o *Outbox) Send(now time.Time, interval time.Duration) (map[string]Batch, time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	out, wait := map[string]Batch{}, interval
	for address, b := range o.batches(now) {
		r := o.recorders[address]
		left := interval - now.Sub(r.sentAt)
		switch {
		case r.sending:
		case left > 0 && (r.failed || !b.urgent):
			wait = min(wait, left)
		default:
			r.sending, r.sentAt = true, now
			out[address] = b
		}
	}
	return out, wait
}

func (o *Outbox) batch(now time.Time, delivered int64) Batch {
	start := o.search(delivered + 1)
	b := Batch{first: delivered + 1, last: delivered}
	for _, p := range o.pending[start:min(len(o.pending), start+maxBatch)] {
		b.last = p.sequence
		if left := p.expiresAt.Sub(now); left > 0 {
			p.record.TimeLeft = left
			b.Records = append(b.Records, p.record)
			b.urgent = b.urgent || p.urgent
		}
	}
	return b
}

// search returns the index of the first pending record that has a sequence number or a higher one.
func (o *Outbox) search(sequence int64) int {
	i, _ := slices.BinarySearchFunc(o.pending, sequence, func(p pendingRecord, n int64) int { return cmp.Compare(p.sequence, n) })
	return i
}

// Confirm records that a process of a recorder has the records of a batch.
func (o *Outbox) Confirm(address string, b Batch, process Incarnation) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.closeRecorded(b)
	r := o.recorders[address]
	if r == nil {
		return
	}
	r.sending, r.failed = false, false
	if r.incarnation != process && r.incarnation != 0 {
		// the records before this batch are lost
		r.delivered, r.incarnation = 0, process
		return
	}
	r.delivered, r.incarnation = b.last, process
}

func (o *Outbox) closeRecorded(b Batch) {
	batch := o.pending[o.search(b.first):o.search(b.last+1)]
	for i := range batch {
		if p := &batch[i]; p.recorded != nil {
			close(p.recorded)
			p.recorded = nil
		}
	}
}

// Fail records that a recorder has not confirmed a batch.
func (o *Outbox) Fail(address string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if r := o.recorders[address]; r != nil {
		r.sending, r.failed = false, true
	}
}
