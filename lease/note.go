package lease

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
	// noteProducer numbers the note's writes.
	noteProducer = "galenastair"
)

// MostPresuming is the largest fleet whose instances go by the note when they start: the part
// of one of a larger fleet does not carry a request.
const MostPresuming = 24

// Note is what a leader leaves on the platform; this package does not look
// into it.
type Note struct {
	// Topic is the keyed topic in which it stands.
	Topic galenastair.Topic
	// Write returns what is to stand there; nil while there is nothing to say.
	Write func() []byte
	// Written is told once it certainly stands there.
	Written func([]byte)
	// Read is told what a leader before left, at the start of the process and of a term.
	// First says that this process has just started, and that no process of this member
	// was told the same note so before: what may be done once for a note is done then.
	Read func(note []byte, first bool)
}

// WithNote says what is left on the platform and who reads it.
func WithNote(n Note) Option { return func(e *Elector) { e.note = n } }

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

// readNote takes in the note; false if the store did not answer.
func (e *Elector) readNote(ctx context.Context, starts bool) bool {
	if e.note.Topic == "" {
		return true
	}
	b, err := e.store.Newest(ctx, e.note.Topic)
	if err != nil {
		e.logger.Log("event", "note", "err", err)
		return false
	}
	var note galenastair.KeyedRecord
	used := ""
	for _, r := range b.Records {
		switch r.Key {
		case noteKey:
			note = r
		case usedKey + e.member:
			used = string(r.Value)
		}
	}
	if note.Key != "" {
		e.note.Read(note.Value, starts && e.use(ctx, note.Offset, used))
	}
	return true
}

// use marks a note as used by this member, and says whether it was not before.
//
// Failure guarded against: a process that is started again and again would do each time
// what the note allows once.
func (e *Elector) use(ctx context.Context, note galenastair.Offset, used string) bool {
	at := strconv.FormatInt(int64(note), 10)
	if used == at {
		return false
	}
	err := e.store.Put(ctx, e.note.Topic, usedKey+e.member, []byte(at), galenastair.Producer{})
	if err != nil {
		e.logger.Log("event", "note", "used", at, "err", err)
	}
	return err == nil
}

// leaveNote writes the note if it has changed.
func (e *Elector) leaveNote(ctx context.Context) {
	fence, ok := e.lease.Fence()
	if !ok {
		return
	}
	if n := &e.noting; n.producer.Epoch != fence {
		*n = noting{producer: galenastair.Producer{Name: noteProducer, Epoch: fence}}
	}
	n := &e.noting
	if n.pending == nil {
		next := e.note.Write()
		if next == nil || bytes.Equal(next, n.written) {
			return
		}
		n.pending = next
	}
	err := e.store.Put(ctx, e.note.Topic, noteKey, n.pending, n.producer)
	e.logger.Log("event", "note", "fence", int64(fence), "sequence", n.producer.Sequence, "note", string(n.pending), "err", err)
	if err != nil {
		return
	}
	n.producer.Sequence++
	n.written, n.pending = n.pending, nil
	e.note.Written(n.written)
}
