package member

import (
	"context"
	"encoding/json"
	"errors"
	"math"
	"time"

	"github.com/go-kit/log/level"
	"github.com/rotisserie/eris"

	"galenastair"
)

const (
	// followWait is how long a read waits for the next record: 26 reads a second
	// from 53 members, and a log that died is noticed within seconds.
	followWait = 2 * time.Second
	// followSlack is what a read may take beyond its wait. A connection to the
	// log that went silent would otherwise stop the fold for good.
	followSlack = time.Second
	// pause keeps an instance from asking a log that is down in a tight loop.
	pause = 250 * time.Millisecond
	// pastEnd is an offset that no stream reaches; a read there tells what is kept.
	pastEnd galenastair.Offset = math.MaxInt64
)

// follow folds the control stream until the context ends.
func (r *Runtime) follow(ctx context.Context) error {
	next, started, wait := galenastair.Offset(0), false, time.Duration(0)
	for ctx.Err() == nil {
		var err error
		if !started {
			next, err = r.start(ctx)
			started, wait = err == nil, 0
		} else {
			// The first read does not wait: it tells at once where the stream ends.
			next, err = r.readOn(ctx, next, wait)
			wait = followWait
		}
		if errors.Is(err, galenastair.ErrExpired) {
			started = false
		}
		if err != nil {
			r.pause(ctx, err)
		}
	}
	return ctx.Err()
}

func (r *Runtime) pause(ctx context.Context, err error) {
	_ = level.Debug(r.logger).Log("msg", "the control stream cannot be read", "err", err)
	select {
	case <-time.After(pause):
	case <-ctx.Done():
	}
}

func (r *Runtime) read(ctx context.Context, from galenastair.Offset, wait time.Duration) (galenastair.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+followSlack)
	defer cancel()
	batch, err := r.log.Read(ctx, r.stream, from, wait)
	if err == nil && batch.First > from {
		err = galenastair.ErrExpired
	}
	return batch, eris.Wrap(err, "read the control stream")
}

// start finds where to begin: at the first record, or at the newest snapshot
// that the kept records carry on from.
func (r *Runtime) start(ctx context.Context) (galenastair.Offset, error) {
	end, err := r.read(ctx, pastEnd, 0)
	if err != nil {
		return 0, err
	}
	if end.First <= 1 {
		return end.First, r.restore(ctx, end.First, nil)
	}
	snap, err := r.newestSnapshot(ctx, end)
	if err != nil {
		return 0, err
	}
	if snap == nil {
		return end.First, r.startWithoutHistory(ctx, end.First)
	}
	return snap.Covers, r.restore(ctx, snap.Covers, snap)
}

// startWithoutHistory begins with empty folds where older records have expired
// unread. An instance that has folded some of them waits for a snapshot instead:
// a fold over a gap would differ from that of the others.
func (r *Runtime) startWithoutHistory(ctx context.Context, first galenastair.Offset) error {
	failed, err := onLoop(ctx, r, func() error {
		if r.node.State().Offset > 0 {
			return galenastair.ErrExpired
		}
		r.node.HistoryLost(r.clock.Now())
		err := r.restoreFolds(first, nil)
		r.snapshots = snapshots{}
		return err
	})
	return errors.Join(err, failed)
}

func (r *Runtime) newestSnapshot(ctx context.Context, end galenastair.Batch) (*Snapshot, error) {
	var newest *Snapshot
	for from := end.First; from < end.Next; {
		batch, err := r.read(ctx, from, 0)
		if err != nil {
			return nil, err
		}
		if len(batch.Records) == 0 {
			break
		}
		for _, rec := range batch.Records {
			from = rec.Offset + 1
			if s := decodeSnapshot(rec); s != nil && s.Covers >= end.First {
				newest = s
			}
		}
	}
	return newest, nil
}

func decodeSnapshot(rec galenastair.LogRecord) *Snapshot {
	var envelope galenastair.Record
	if json.Unmarshal(rec.Data, &envelope) != nil || envelope.Kind != KindSnapshot {
		return nil
	}
	var s Snapshot
	if json.Unmarshal(envelope.Body, &s) != nil {
		return nil
	}
	return &s
}

// restore puts all folds at an offset; without a snapshot they begin empty.
func (r *Runtime) restore(ctx context.Context, covers galenastair.Offset, snap *Snapshot) error {
	failed, err := onLoop(ctx, r, func() error { return r.restoreFolds(covers, snap) })
	return errors.Join(err, failed)
}

func (r *Runtime) restoreFolds(covers galenastair.Offset, snap *Snapshot) error {
	now := r.clock.Now()
	if r.node.State().Offset >= covers {
		return nil
	}
	if snap != nil {
		if err := r.node.Restore(now, covers, snap.Membership); err != nil {
			return err
		}
	}
	for _, f := range r.folds {
		var raw json.RawMessage
		if snap != nil {
			raw = snap.Sections[f.Name()]
		}
		if err := f.Restore(now, covers, raw); err != nil {
			return eris.Wrapf(err, "restore %s", f.Name())
		}
	}
	r.snapshots.seen(now, covers)
	return nil
}

func (r *Runtime) readOn(ctx context.Context, from galenastair.Offset, wait time.Duration) (galenastair.Offset, error) {
	batch, err := r.read(ctx, from, wait)
	if err != nil {
		return from, err
	}
	next := from
	if n := len(batch.Records); n > 0 {
		next = batch.Records[n-1].Offset + 1
	}
	return next, r.loop.Do(ctx, func() { r.fold(batch, next) })
}

func (r *Runtime) fold(batch galenastair.Batch, next galenastair.Offset) {
	now := r.clock.Now()
	if next >= batch.Next {
		r.node.LogContact(now)
	}
	r.snapshots.kept(batch.First)
	for _, rec := range batch.Records {
		r.foldRecord(now, rec)
	}
	r.after()
}

func (r *Runtime) foldRecord(now time.Time, rec galenastair.LogRecord) {
	if rec.Offset < r.node.State().Offset {
		return
	}
	var envelope galenastair.Record
	if err := json.Unmarshal(rec.Data, &envelope); err != nil {
		// Unreadable for every reader alike: it has no effect in any fold.
		envelope = galenastair.Record{}
	}
	if envelope.Kind == KindSnapshot {
		r.checkSnapshot(now, rec)
	}
	r.node.Fold(now, rec.Offset, envelope)
	for _, f := range r.folds {
		f.Apply(now, rec.Offset, envelope, r.node.State())
	}
}
