package galenastair

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

// Topic names one partitioned sequence of records in the platform's store.
type Topic string

// KeyedRecord is the newest value of one key; an empty value says that the key is gone.
type KeyedRecord struct {
	Key    string
	Value  []byte
	Offset Offset
}

// KeyedBatch is the result of one read of a keyed topic.
type KeyedBatch struct {
	Records []KeyedRecord
	// Next is the offset to go on from, and End where the topic ended; records between
	// them were not read yet.
	Next Offset
	End  Offset
	// Skipped is how many records before Next were left out, each superseded by a later one
	// of its key.
	Skipped Offset
}

// From returns the offset that a read of consecutive records began at.
func (b KeyedBatch) From() Offset { return b.Next - b.Skipped - Offset(len(b.Records)) }

// ErrConflict says that the store did nothing, since the topic ends elsewhere than presumed.
var ErrConflict = eris.New("the topic ends elsewhere")

// ErrStoreRefused says that the store certainly did nothing.
var ErrStoreRefused = eris.New("the store refused the call")

// ErrStoreUnavailable says that a call to the store got no usable answer; it may have acted.
var ErrStoreUnavailable = eris.New("the store gave no answer")

// Producer numbers the writes to one topic, so that a repeated write acts once and one that
// comes late does not act after a newer. A higher epoch ends all lower ones. Without a name
// nothing is numbered.
type Producer struct {
	Name     string
	Epoch    Fence
	Sequence int64
}

// Store is the platform's metadata store. Records before the oldest one kept are
// reported as ErrExpired.
type Store interface {
	// Newest returns the newest record of each key, and where to read on from.
	Newest(ctx context.Context, t Topic) (KeyedBatch, error)
	// Follow returns the records from an offset on, waiting up to wait for the first.
	Follow(ctx context.Context, t Topic, from Offset, wait time.Duration) (KeyedBatch, error)
	// Put makes a value the newest of a key in a keyed topic, once for each number of its
	// producer.
	Put(ctx context.Context, t Topic, key string, value []byte, p Producer) error
	// PutAt makes a value the newest of a key in a keyed topic if the topic ends at the offset,
	// and returns the record's offset; else ErrConflict.
	PutAt(ctx context.Context, t Topic, key string, value []byte, at Offset) (Offset, error)
}
