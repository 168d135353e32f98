package galenastair

import (
	"context"
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"
)

// Stream is the name of an append-only sequence of records in the platform's log.
type Stream string

// ConfigurationStream is the stream to which operators publish contracts.
const ConfigurationStream Stream = "configuration"

// ControlStream returns the stream of the membership and order records of a region.
func ControlStream(r Region) Stream { return Stream("control-" + string(r)) }

var (
	// ErrAppendUnknown means that an append may or may not have taken effect.
	ErrAppendUnknown = eris.New("outcome of the append is unknown")
	// ErrAppendRefused means that an append took no effect.
	ErrAppendRefused = eris.New("log refused the append")
	// ErrExpired means that a read requested records before the oldest retained offset.
	ErrExpired = eris.New("requested records are no longer retained")
	// ErrLogUnavailable means that the log cannot be read at the moment.
	ErrLogUnavailable = eris.New("log unavailable")
)

// RecordKind is the type of a record's body.
type RecordKind string

// Record is the envelope of all records that the system and its operators append.
type Record struct {
	ID     RecordID
	Kind   RecordKind
	Author string
	Body   json.RawMessage
}

// LogRecord is a record that is stored in a stream.
type LogRecord struct {
	Offset Offset
	Data   []byte
}

// Batch is the result of a read: records in offset order, and the range of offsets that the
// stream retains.
type Batch struct {
	Records []LogRecord
	// First is the oldest retained offset.
	First Offset
	// Next is the offset that the next appended record will get.
	Next Offset
}

// Log is the platform's append-only log service.
type Log interface {
	// Append adds a record. After any error other than ErrAppendRefused, the record may or may
	// not have been added.
	Append(ctx context.Context, s Stream, data []byte) (Offset, error)
	// Read returns the records from an offset on. If there are none yet, it waits for the
	// first one, for at most the duration wait.
	Read(ctx context.Context, s Stream, from Offset, wait time.Duration) (Batch, error)
}
