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
	// readWait is how long a read waits for the next record. At 2 s, 53 members make 26 reads a
	// second, and a log that has failed is noticed within seconds.
	readWait = 2 * time.Second
	// readTimeoutMargin is added to the wait for the timeout of a read. Without a timeout, a connection
	// to the log that no longer delivers data would stop the reading for good.
	readTimeoutMargin = time.Second
	// readBackoff is the delay after a failed read, so that a log that is down is not polled in a tight loop.
	readBackoff = 250 * time.Millisecond
	// offsetPastEnd is an offset that no stream reaches. A read there returns the range of kept offsets.
	offsetPastEnd galenastair.Offset = math.MaxInt64
)

// follow reads and applies the control stream until the context ends.
func (r *Runtime) follow(ctx context.Context) error {
	next, started, wait := galenastair.Offset(0), false, time.Duration(0)
	for ctx.Err() == nil {
		var err error
		if !started {
			next, err = r.loadInitialState(ctx)
			started, wait = err == nil, 0
		} else {
			// The first read does not wait, so that the end of the stream is known at once.
			next, err = r.readNext(ctx, next, wait)
			wait = readWait
		}
		if errors.Is(err, galenastair.ErrExpired) {
			started = false
		}
		if err != nil {
			r.backOff(ctx, err)
		}
	}
	return ctx.Err()
}

func (r *Runtime) backOff(ctx context.Context, err error) {
	_ = level.Debug(r.logger).Log("msg", "cannot read the control stream", "err", err)
	select {
	case <-time.After(readBackoff):
	case <-ctx.Done():
	}
}

func (r *Runtime) read(ctx context.Context, from galenastair.Offset, wait time.Duration) (galenastair.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+readTimeoutMargin)
	defer cancel()
	batch, err := r.log.Read(ctx, r.stream, from, wait)
	if err == nil && batch.First > from {
		err = galenastair.ErrExpired
	}
	return batch, eris.Wrap(err, "read the control stream")
}

// loadInitialState returns the offset from which to read: the first record, or the end of the newest
// snapshot that the kept records continue.
func (r *Runtime) loadInitialState(ctx context.Context) (galenastair.Offset, error) {
	end, err := r.read(ctx, offsetPastEnd, 0)
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

// startWithoutHistory starts with empty states if older records have expired unread. An instance
// that has already applied some of them waits for a snapshot instead, because its state would
// differ from that of the others after the gap.
func (r *Runtime) startWithoutHistory(ctx context.Context, first galenastair.Offset) error {
	failed, err := runOnLoop(ctx, r, func() error {
		if r.node.State().Offset > 0 {
			return galenastair.ErrExpired
		}
		r.node.HandleHistoryLost(r.clock.Now())
		err := r.restoreAll(first, nil)
		r.snapshots = snapshotTracker{}
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

// restore sets all state machines to an offset; without a snapshot they start empty.
func (r *Runtime) restore(ctx context.Context, covers galenastair.Offset, snap *Snapshot) error {
	failed, err := runOnLoop(ctx, r, func() error { return r.restoreAll(covers, snap) })
	return errors.Join(err, failed)
}

func (r *Runtime) restoreAll(covers galenastair.Offset, snap *Snapshot) error {
	now := r.clock.Now()
	if r.node.State().Offset >= covers {
		return nil
	}
	if snap != nil {
		if err := r.node.Restore(now, covers, snap.Membership); err != nil {
			return err
		}
	}
	for _, f := range r.stateMachines {
		var raw json.RawMessage
		if snap != nil {
			raw = snap.Sections[f.Name()]
		}
		if err := f.Restore(now, covers, raw); err != nil {
			return eris.Wrapf(err, "restore %s", f.Name())
		}
	}
	r.snapshots.observe(now, covers)
	return nil
}

func (r *Runtime) readNext(ctx context.Context, from galenastair.Offset, wait time.Duration) (galenastair.Offset, error) {
	batch, err := r.read(ctx, from, wait)
	if err != nil {
		return from, err
	}
	next := from
	if n := len(batch.Records); n > 0 {
		next = batch.Records[n-1].Offset + 1
	}
	return next, r.loop.Do(ctx, func() { r.applyBatch(batch, next) })
}

func (r *Runtime) applyBatch(batch galenastair.Batch, next galenastair.Offset) {
	now := r.clock.Now()
	if next >= batch.Next {
		r.node.ObserveLogContact(now)
	}
	r.snapshots.setFirst(batch.First)
	for _, rec := range batch.Records {
		r.applyRecord(now, rec)
	}
	r.flushActions()
}

func (r *Runtime) applyRecord(now time.Time, rec galenastair.LogRecord) {
	if rec.Offset < r.node.State().Offset {
		return
	}
	var envelope galenastair.Record
	if err := json.Unmarshal(rec.Data, &envelope); err != nil {
		// The record is unreadable for every instance and has no effect on any state.
		envelope = galenastair.Record{}
	}
	if envelope.Kind == KindSnapshot {
		r.checkSnapshot(now, rec)
	}
	r.node.Apply(now, rec.Offset, envelope)
	for _, f := range r.stateMachines {
		f.Apply(now, rec.Offset, envelope, r.node.State())
	}
}
