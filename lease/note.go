package lease

import (
	"bytes"
	"context"
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
	// Checkpoint returns the state to store; nil if there is nothing to store yet.
	Checkpoint func() []byte
	// Stored is called once the state is certainly stored.
	Stored func([]byte)
	// Restore is called with the state of an earlier leader when the process starts and at the
	// start of a term. first means that this process has just started, and that no process of this
	// instance has been given the same checkpoint: what a checkpoint allows once is done then.
	Restore func(checkpoint []byte, first bool)
}

// WithCheckpointer sets what is stored on the platform and who reads it.
func WithCheckpointer(c Checkpointer) Option { return func(e *Elector) { e.checkpointer = c } }

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

// restoreCheckpoint reads the checkpoint; false if the store did not answer.
func (e *Elector) restoreCheckpoint(ctx context.Context, starts bool) bool {
	if e.checkpointer.Topic == "" {
		return true
	}
	if e.inherited != nil && !starts {
		e.checkpointer.Restore(e.inherited, false)
		return true
	}
	b, err := e.store.Newest(ctx, e.checkpointer.Topic)
	if err != nil {
		e.logger.Log("event", "note", "err", err)
		return false
	}
	var checkpoint galenastair.KeyedRecord
	used := ""
	for _, r := range b.Records {
		switch r.Key {
		case checkpointKey:
			checkpoint = r
		case usedKeyPrefix + e.self:
			used = string(r.Value)
		}
	}
	if checkpoint.Key != "" {
		e.checkpointer.Restore(checkpoint.Value, starts && !e.storeRestored() && e.markUsed(ctx, checkpoint.Offset, used))
	}
	return true
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
func (e *Elector) markUsed(ctx context.Context, checkpoint galenastair.Offset, used string) bool {
	at := strconv.FormatInt(checkpoint.Position(), 10)
	if used == at {
		return false
	}
	err := e.store.Put(ctx, e.checkpointer.Topic, usedKeyPrefix+e.self, []byte(at), galenastair.Producer{})
	if err != nil {
		e.logger.Log("event", "note", "used", at, "err", err)
	}
	return err == nil
}

// storeCheckpoint writes the checkpoint if it has changed.
func (e *Elector) storeCheckpoint(ctx context.Context) {
	fence, ok := e.lease.Fence()
	if !ok {
		return
	}
	if w := &e.writer; w.producer.Epoch != fence {
		*w = checkpointWriter{producer: galenastair.Producer{Name: checkpointProducer, Epoch: fence}}
	}
	w := &e.writer
	if w.pending == nil {
		next := e.checkpointer.Checkpoint()
		if next == nil || bytes.Equal(next, w.stored) {
			return
		}
		w.pending = next
	}
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := e.store.Put(call, e.checkpointer.Topic, checkpointKey, w.pending, w.producer)
	e.logger.Log("event", "note", "fence", int64(fence), "sequence", w.producer.Sequence, "note", string(w.pending), "err", err)
	if err != nil {
		return
	}
	w.producer.Sequence++
	w.stored, w.pending = w.pending, nil
	e.checkpointer.Stored(w.stored)
}
