package galenastair

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

// Topic is the name of a partitioned sequence of records in the platform's metadata store.
type Topic string

// KeyedRecord sets the value of a key. An empty value means that the key was deleted.
type KeyedRecord struct {
	Key    string
	Value  []byte
	Offset Offset
}

// KeyedBatch is the result of a read of a keyed topic.
type KeyedBatch struct {
	Records []KeyedRecord
	// Next is the offset for the next read, and End is the offset after the last record of
	// the topic. The records between them have not been read yet.
	Next Offset
	End  Offset
	// Skipped is the number of records before Next that were omitted because a later record
	// has the same key.
	Skipped Offset
}

// From returns the offset at which a read of consecutive records began.
func (b KeyedBatch) From() Offset { return b.Next - b.Skipped - Offset(len(b.Records)) }

// ErrConflict means that the write took no effect, as the topic does not end at the expected
// offset.
var ErrConflict = eris.New("topic does not end at the expected offset")

// ErrStoreRefused means that the store refused a request, which took no effect.
var ErrStoreRefused = eris.New("store refused the request")

// ErrStoreUnavailable means that the store gave no valid response. A write may have taken
// effect.
var ErrStoreUnavailable = eris.New("no valid response from the store")

// Producer identifies the writer of a topic and numbers its writes. A repeated write takes effect
// only once, and a delayed write takes no effect after a newer one. A higher epoch
// invalidates all lower ones. If Name is empty, writes are not numbered.
type Producer struct {
	Name     string
	Epoch    Fence
	Sequence int64
}

// Store is the platform's metadata store. A read that starts before the oldest retained record, or in a
// timeline that has ended, returns ErrExpired.
type Store interface {
	// Newest returns the newest record of each key, and the offset for the next read.
	Newest(ctx context.Context, t Topic) (KeyedBatch, error)
	// Read returns the records from an offset on. If there are none yet, it waits for the
	// first one, for at most the duration wait.
	Read(ctx context.Context, t Topic, from Offset, wait time.Duration) (KeyedBatch, error)
	// Put sets the value of a key in a keyed topic. A producer's repeated write takes effect
	// only once.
	Put(ctx context.Context, t Topic, key string, value []byte, p Producer) error
	// PutAll sets the values of several keys in a keyed topic, all or none, and returns the offset of the
	// first record.
	PutAll(ctx context.Context, t Topic, records []KeyedRecord) (Offset, error)
	// CompareAndPut sets the value of a key in a keyed topic if the topic ends at the offset
	// at, and returns the offset of the new record. Otherwise, it returns ErrConflict. After a change
	// of timeline, a write that returned ErrConflict may have taken effect.
	CompareAndPut(ctx context.Context, t Topic, key string, value []byte, at Offset) (Offset, error)
}
