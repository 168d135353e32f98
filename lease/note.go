package lease

import (
	"bytes"
	"context"
	"slices"
	"strconv"

	"galenastair"
)

// Keys and the producer name in the checkpoint's topic.
const (
	checkpointKey = "Holder"
	// usedKeyPrefix, followed by an instance's peer address, is the key of the offset of the
	// checkpoint that the instance used.
	usedKeyPrefix = "Used/"
	// checkpointProducer is the producer under which writes are numbered.
	checkpointProducer = "galenastair"
)

// MaxRestoreFleet is the largest fleet whose instances restore the checkpoint when they start. In
// a larger fleet the fraction of one instance does not pay for a request.
const MaxRestoreFleet = 24

// Checkpointer reads and writes the state that a leader stores on the platform. This package does
// not interpret the state.
type Checkpointer struct {
	// Topic is the keyed topic that holds the checkpoint.
	Topic galenastair.Topic
	// EveryStart has all processes restore the checkpoint when they start, however large the fleet. It
	// is never the first use then.
	EveryStart bool
	// Checkpoint returns the state to store; nil if there is nothing to store yet.
	Checkpoint func() []byte
	// Stored is called once the state is certainly stored.
	Stored func([]byte)
	// Restore is called with the state of an earlier leader when the process starts and at the
	// start of a term. first means that this process has just started, and that no process of this
	// instance has been given the same checkpoint: what a checkpoint allows once is done then.
	Restore func(checkpoint []byte, first bool)
}

// WithCheckpointer adds a state that is stored on the platform.
func WithCheckpointer(c Checkpointer) Option {
	return func(e *Elector) { e.checkpoints = append(e.checkpoints, &checkpoint{Checkpointer: c}) }
}

// checkpoint is one stored state and its writes.
type checkpoint struct {
	Checkpointer
	writer checkpointWriter
	// inherited is the state with which the term begins, if it is newer than the store's: what this
	// instance stored before the store was restored. It is nil otherwise.
	inherited []byte
}

// checkpointWriter is the state of one term's writes.
//
// Failure guarded against: the answer to a write is lost, and the write takes effect seconds
// later, after newer ones. Therefore writes are numbered within a term's fencing token, and each
// is repeated until it is answered. The store accepts each number once, in order, and none of an
// earlier term.
type checkpointWriter struct {
	producer galenastair.Producer
	// stored is the last acknowledged state, and pending has been sent without an answer.
	stored, pending []byte
}

// inherit keeps the state that this instance stored before the store was restored, if no other instance
// has led since.
func (c *checkpoint) inherit(restored bool, lastFence galenastair.Fence) {
	c.inherited = nil
	if restored && c.writer.stored != nil && c.writer.producer.Epoch == lastFence {
		c.inherited = c.writer.stored
	}
}

// restoreAtStart restores the checkpoints that a starting process needs.
func (e *Elector) restoreAtStart(ctx context.Context) {
	fleet := e.LatestRecord().FleetSize
	for _, c := range e.checkpoints {
		if c.EveryStart || fleet > 0 && fleet <= MaxRestoreFleet {
			e.restoreCheckpoint(ctx, c, true)
		}
	}
}

// restoreTerm restores all checkpoints at the start of a term; false if the store did not answer.
func (e *Elector) restoreTerm(ctx context.Context) bool {
	for _, c := range e.checkpoints {
		if c.inherited != nil {
			c.Restore(c.inherited, false)
		} else if !e.restoreCheckpoint(ctx, c, false) {
			return false
		}
	}
	return true
}

// restoreCheckpoint reads a checkpoint; false if the store did not answer.
func (e *Elector) restoreCheckpoint(ctx context.Context, c *checkpoint, starts bool) bool {
	b, err := e.store.Newest(ctx, c.Topic)
	if err != nil {
		e.logger.Log("event", "note", "topic", string(c.Topic), "err", err)
		return false
	}
	if r, ok := recordOf(b, checkpointKey); ok {
		used, _ := recordOf(b, usedKeyPrefix+e.self)
		first := starts && !c.EveryStart && !e.storeRestored() && e.markUsed(ctx, c, r.Offset, string(used.Value))
		c.Restore(r.Value, first)
	}
	return true
}

func recordOf(b galenastair.KeyedBatch, key string) (galenastair.KeyedRecord, bool) {
	i := slices.IndexFunc(b.Records, func(r galenastair.KeyedRecord) bool { return r.Key == key })
	if i < 0 {
		return galenastair.KeyedRecord{}, false
	}
	return b.Records[i], true
}

// ReadCheckpoint reads a checkpoint that a leader has stored, and the timeline of the store. The checkpoint
// is empty if there is none.
func ReadCheckpoint(ctx context.Context, s galenastair.Store, t galenastair.Topic) ([]byte, galenastair.Timeline, error) {
	b, err := s.Newest(ctx, t)
	r, _ := recordOf(b, checkpointKey)
	return r.Value, b.End.Timeline(), err
}

// storeRestored reports whether the checkpoint may be older than the last one, as no instance has led since
// the store was restored.
func (e *Elector) storeRestored() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.restored()
}

// markUsed marks a checkpoint as used by this instance, and reports whether it was unused before.
//
// Failure guarded against: a process that restarts repeatedly would each time do what the
// checkpoint allows only once.
func (e *Elector) markUsed(ctx context.Context, c *checkpoint, offset galenastair.Offset, used string) bool {
	at := strconv.FormatInt(offset.Position(), 10)
	if used == at {
		return false
	}
	err := e.store.Put(ctx, c.Topic, usedKeyPrefix+e.self, []byte(at), galenastair.Producer{})
	if err != nil {
		e.logger.Log("event", "note", "used", at, "err", err)
	}
	return err == nil
}

// storeCheckpoints writes the checkpoints that have changed.
func (e *Elector) storeCheckpoints(ctx context.Context) {
	for _, c := range e.checkpoints {
		e.storeCheckpoint(ctx, c)
	}
}

func (e *Elector) storeCheckpoint(ctx context.Context, c *checkpoint) {
	fence, ok := e.lease.Fence()
	if !ok {
		return
	}
	w := &c.writer
	if w.producer.Epoch != fence {
		*w = checkpointWriter{producer: galenastair.Producer{Name: checkpointProducer, Epoch: fence}}
	}
	if w.pending == nil {
		next := c.Checkpoint()
		if next == nil || bytes.Equal(next, w.stored) {
			return
		}
		w.pending = next
	}
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := e.store.Put(call, c.Topic, checkpointKey, w.pending, w.producer)
	e.logger.Log("event", "note", "topic", string(c.Topic), "fence", int64(fence), "sequence", w.producer.Sequence, "note", string(w.pending), "err", err)
	if err != nil {
		return
	}
	w.producer.Sequence++
	w.stored, w.pending = w.pending, nil
	c.Stored(w.stored)
}
