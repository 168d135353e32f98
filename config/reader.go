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
	// ErrNoSnapshot says that records are missing and no snapshot stands in for them.
	ErrNoSnapshot = eris.New("the records have expired and the log holds no snapshot")
	// ErrLogBehind says that the log ends before an offset that was folded already.
	ErrLogBehind = eris.New("the log ends before what was read from it")
	// ErrNewerRules says that the stream has moved to rules that this program does not know.
	ErrNewerRules = eris.New("the configuration stream needs a newer program")
)

// readSlack is what a read may take beyond its wait before it is given up.
//
// Failure: the connection to the log goes silent for good. It would show as an
// instance that keeps an old configuration for ever. The guard holds since the
// next read opens a connection of its own.
const readSlack = time.Second

// pastEnd is an offset that no stream reaches; a read from it tells what is kept.
const pastEnd galenastair.Offset = math.MaxInt64

// reader folds the configuration stream as it comes from the log.
type reader struct {
	log  galenastair.Log
	fold *Fold
	// folded is told of every record that was folded, in order.
	folded func(galenastair.LogRecord, Verdict)
}

func newReader(l galenastair.Log) *reader {
	return &reader{log: l, fold: NewFold(), folded: func(galenastair.LogRecord, Verdict) {}}
}

// read folds what one read returns, and tells whether nothing was left unread then.
func (r *reader) read(ctx context.Context, wait time.Duration) (bool, error) {
	batch, err := r.batch(ctx, r.fold.Next(), wait)
	if errors.Is(err, galenastair.ErrExpired) {
		return false, r.restart(ctx)
	}
	if err != nil {
		return false, err
	}
	// a log that was reset, or a lagging copy of it: its answer proves no contact
	if batch.Next < r.fold.Next() {
		return false, eris.Wrapf(ErrLogBehind, "at %d, folded up to %d", batch.Next, r.fold.Next())
	}
	if err := r.apply(batch.Records); err != nil {
		return false, err
	}
	return r.fold.Next() >= batch.Next, nil
}

func (r *reader) apply(records []galenastair.LogRecord) error {
	for _, rec := range records {
		v := r.fold.Apply(rec)
		if r.fold.Halted() {
			return ErrNewerRules
		}
		r.folded(rec, v)
	}
	return nil
}

func (r *reader) batch(ctx context.Context, from galenastair.Offset, wait time.Duration) (galenastair.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+readSlack)
	defer cancel()
	batch, err := r.log.Read(ctx, galenastair.ConfigurationStream, from, wait)
	if err != nil {
		return batch, eris.Wrap(err, "read the configuration stream")
	}
	if batch.First > from {
		return batch, galenastair.ErrExpired
	}
	return batch, nil
}

// restart takes up the newest valid snapshot that the log still holds. Records
// are read once to find it and folded on a second read, so that no more than
// one snapshot is in memory at a time.
func (r *reader) restart(ctx context.Context) error {
	found, err := r.newestSnapshot(ctx)
	if err != nil {
		return err
	}
	// one that is not ahead does not bridge the gap, and would be read again and again
	if found == nil || !r.adopt(found) {
		return ErrNoSnapshot
	}
	return nil
}

// adopt takes the place of the present fold unless that is as far or farther.
func (r *reader) adopt(f *Fold) bool {
	if f.Next() <= r.fold.Next() {
		return false
	}
	r.fold = f
	return true
}

func (r *reader) newestSnapshot(ctx context.Context) (*Fold, error) {
	end, err := r.batch(ctx, pastEnd, 0)
	if err != nil {
		return nil, err
	}
	var parts assembly
	for from := end.First; from < end.Next; {
		batch, err := r.batch(ctx, from, 0)
		if err != nil {
			return nil, err
		}
		if len(batch.Records) == 0 {
			break
		}
		for _, rec := range batch.Records {
			parts.add(rec)
			from = rec.Offset + 1
		}
	}
	return parts.newest, nil
}
