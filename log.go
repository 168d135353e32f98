package galenastair

import (
	"context"
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"
)

// Stream names one append-only sequence of records in the platform's log.
type Stream string

// ConfigurationStream is where operators publish contracts.
const ConfigurationStream Stream = "configuration"

// ControlStream returns the stream of a region's membership and order records.
func ControlStream(r Region) Stream { return Stream("control-" + string(r)) }

var (
	// ErrAppendUnknown says that an append may or may not have taken effect.
	ErrAppendUnknown = eris.New("the outcome of the append is not known")
	// ErrAppendRefused says that an append certainly took no effect.
	ErrAppendRefused = eris.New("the log refused the append")
	// ErrExpired says that records before the oldest kept offset were asked for.
	ErrExpired = eris.New("the records are no longer kept")
	// ErrLogUnavailable says that the log cannot be read now.
	ErrLogUnavailable = eris.New("the log cannot be reached")
)

// RecordKind says which type a record's body has.
type RecordKind string

// Record is the envelope of everything that the system and its operators append.
type Record struct {
	ID     RecordID
	Kind   RecordKind
	Author string
	Body   json.RawMessage
}

// LogRecord is a record as it stands in a stream.
type LogRecord struct {
	Offset Offset
	Data   []byte
}

// Batch is the result of one read: records in offset order, and what the stream holds.
type Batch struct {
	Records []LogRecord
	// First is the oldest offset still kept.
	First Offset
	// Next is the offset that the next record of the stream will get.
	Next Offset
}

// Log is the platform's append-only log service.
type Log interface {
	// Append adds one record; an error that is not ErrAppendRefused leaves its effect unknown.
	Append(ctx context.Context, s Stream, data []byte) (Offset, error)
	// Read returns records from an offset on, waiting up to wait for the first.
	Read(ctx context.Context, s Stream, from Offset, wait time.Duration) (Batch, error)
}
