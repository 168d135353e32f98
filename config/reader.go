package config

import (
	"context"
	"errors"
	"math"
	"time"

	"github.com/rotisserie/eris"

	"galenastair"
)

var (
	// ErrNoSnapshot is returned when records have expired and no snapshot replaces them.
	ErrNoSnapshot = eris.New("records have expired and the log holds no usable snapshot")
	// ErrLogBehind is returned when the log ends before an offset that was already applied.
	ErrLogBehind = eris.New("log ends before an offset that was already applied")
	// ErrNewerRules is returned when the stream requires a rules version that this program
	// does not support.
	ErrNewerRules = eris.New("configuration stream requires a newer program")
)

// readTimeoutMargin is how much longer than its poll timeout a read may take before it is
// cancelled. Without this timeout, an instance whose connection to the log has gone
// silent would keep an outdated configuration indefinitely. The next read opens a new
// connection.
const readTimeoutMargin = time.Second

// offsetPastEnd is an offset that no stream reaches; a read from it returns the range of
// offsets that the log holds.
const offsetPastEnd galenastair.Offset = math.MaxInt64

// reader applies the records of the configuration stream as it reads them from the log.
type reader struct {
	log galenastair.Log
	sm  *StateMachine
	// onApplied is called for every applied record, in order.
	onApplied func(galenastair.LogRecord, ApplyResult)
}

func newReader(l galenastair.Log) *reader {
	return &reader{log: l, sm: NewStateMachine(), onApplied: func(galenastair.LogRecord, ApplyResult) {}}
}

// read applies the records of one read and reports whether that reached the end of the stream.
func (r *reader) read(ctx context.Context, pollTimeout time.Duration) (bool, error) {
	batch, err := r.readBatch(ctx, r.sm.Next(), pollTimeout)
	if errors.Is(err, galenastair.ErrExpired) {
		return false, r.restoreFromSnapshot(ctx)
	}
	if err != nil {
		return false, err
	}
	// the log was reset, or a lagging replica answered, so this does not count as contact
	if batch.Next < r.sm.Next() {
		return false, eris.Wrapf(ErrLogBehind, "log ends at %d, applied up to %d", batch.Next, r.sm.Next())
	}
	if err := r.apply(batch.Records); err != nil {
		return false, err
	}
	return r.sm.Next() >= batch.Next, nil
}

func (r *reader) apply(records []galenastair.LogRecord) error {
	for _, rec := range records {
		res := r.sm.Apply(rec)
		if r.sm.Halted() {
			return ErrNewerRules
		}
		r.onApplied(rec, res)
	}
	return nil
}

func (r *reader) readBatch(ctx context.Context, from galenastair.Offset, pollTimeout time.Duration) (galenastair.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout+readTimeoutMargin)
	defer cancel()
	batch, err := r.log.Read(ctx, galenastair.ConfigurationStream, from, pollTimeout)
	if err != nil {
		return batch, eris.Wrap(err, "read configuration stream")
	}
	if batch.First > from {
		return batch, galenastair.ErrExpired
	}
	return batch, nil
}

// restoreFromSnapshot restores the newest valid snapshot that the log still holds. It only
// searches for the snapshot; the records after it are applied by later reads, so that no
// more than one snapshot is in memory at a time.
func (r *reader) restoreFromSnapshot(ctx context.Context) error {
	newest, err := r.newestSnapshot(ctx)
	if err != nil {
		return err
	}
	// a snapshot that is not ahead does not cover the expired records, and would be read
	// again on every retry
	if newest == nil || !r.installIfNewer(newest) {
		return ErrNoSnapshot
	}
	return nil
}

// installIfNewer replaces the state machine if the given one is at a higher offset.
func (r *reader) installIfNewer(sm *StateMachine) bool {
	if sm.Next() <= r.sm.Next() {
		return false
	}
	r.sm = sm
	return true
}

func (r *reader) newestSnapshot(ctx context.Context) (*StateMachine, error) {
	end, err := r.readBatch(ctx, offsetPastEnd, 0)
	if err != nil {
		return nil, err
	}
	var assembler snapshotAssembler
	for from := end.First; from < end.Next; {
		batch, err := r.readBatch(ctx, from, 0)
		if err != nil {
			return nil, err
		}
		if len(batch.Records) == 0 {
			break
		}
		for _, rec := range batch.Records {
			assembler.add(rec)
			from = rec.Offset + 1
		}
	}
	return assembler.newest, nil
}
