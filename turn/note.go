package turn

import (
	"bytes"
	"context"
	"strconv"

	"galenastair"
)

// The records of the note's topic.
const (
	// noteKey is that of the note.
	noteKey = "Holder"
	// usedKey, with the member behind it, holds the offset of the note that the member used.
	usedKey = "Used/"
)

// Note is what a holder of the duty leaves on the platform; this package does not look
// into it.
type Note struct {
	// Topic is the keyed topic in which it stands.
	Topic galenastair.Topic
	// Write returns what is to stand there; nil while there is nothing to say.
	Write func() []byte
	// Written is told once it certainly stands there.
	Written func([]byte)
	// Read is told what a holder before left, at the start of the process and of a term.
	// First says that this process has just started, and that no process of this member
	// was told the same note so before: what may be done once for a note is done then.
	Read func(note []byte, first bool)
}

// WithNote says what is left on the platform and who reads it.
func WithNote(n Note) Option { return func(k *Keeper) { k.note = n } }

// noting is the state of one term's writes.
//
// Failure guarded against: the answer to a write is lost, and the write acts seconds later,
// after newer ones. Writes are numbered within a term's fence, and each is repeated until it
// is answered: the store takes each number once, in order, and none of an earlier term.
type noting struct {
	producer galenastair.Producer
	// written stands there, and pending has been sent without an answer.
	written, pending []byte
}

// Started is closed once this process has read what a holder before left, or has found
// that it cannot.
func (k *Keeper) Started() <-chan struct{} { return k.started }

// readNote takes in the note.
func (k *Keeper) readNote(ctx context.Context, starts bool) {
	if k.note.Topic == "" {
		return
	}
	b, err := k.store.Newest(ctx, k.note.Topic)
	if err != nil {
		k.logger.Log("event", "note", "err", err)
		return
	}
	var note galenastair.KeyedRecord
	used := ""
	for _, r := range b.Records {
		switch r.Key {
		case noteKey:
			note = r
		case usedKey + k.member:
			used = string(r.Value)
		}
	}
	if note.Key == "" {
		return
	}
	k.note.Read(note.Value, starts && k.use(ctx, note.Offset, used))
}

// use marks a note as used by this member, and says whether it was not before.
//
// Failure guarded against: a process that is started again and again would do each time
// what the note allows once.
func (k *Keeper) use(ctx context.Context, note galenastair.Offset, used string) bool {
	at := strconv.FormatInt(int64(note), 10)
	if used == at {
		return false
	}
	err := k.store.Put(ctx, k.note.Topic, usedKey+k.member, []byte(at), galenastair.Producer{})
	if err != nil {
		k.logger.Log("event", "note", "used", at, "err", err)
	}
	return err == nil
}

// leaveNote writes the note if it has changed.
func (k *Keeper) leaveNote(ctx context.Context) {
	fence, ok := k.turn.Fence()
	if !ok {
		return
	}
	if n := &k.noting; n.producer.Epoch != fence {
		*n = noting{producer: galenastair.Producer{Name: group, Epoch: fence}}
	}
	n := &k.noting
	if n.pending == nil {
		next := k.note.Write()
		if next == nil || bytes.Equal(next, n.written) {
			return
		}
		n.pending = next
	}
	err := k.store.Put(ctx, k.note.Topic, noteKey, n.pending, n.producer)
	k.logger.Log("event", "note", "fence", int64(fence), "sequence", n.producer.Sequence, "note", string(n.pending), "err", err)
	if err != nil {
		return
	}
	n.producer.Sequence++
	n.written, n.pending = n.pending, nil
	k.note.Written(n.written)
}
