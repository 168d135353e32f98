package config

import (
	"context"
	"errors"

	"github.com/go-kit/log/level"
	"github.com/rotisserie/eris"

	"galenastair"
)

var (
	// ErrNoPeer says that no other instance could answer.
	ErrNoPeer = eris.New("no other instance answered")
	// ErrNoView says that an instance has not caught up yet and so has nothing to give.
	ErrNoView = eris.New("no configuration is in force here yet")
)

// Peers reaches other instances for what they have folded; the highest offset wins.
type Peers interface {
	// ReadRecords returns the records from an offset on that some peer still holds.
	ReadRecords(ctx context.Context, s galenastair.Stream, from galenastair.Offset) (galenastair.Batch, error)
	// FetchFold returns the snapshot of some peer's fold.
	FetchFold(ctx context.Context, s galenastair.Stream) ([]byte, error)
}

// ReadRecords returns the last folded records from an offset on, for a peer.
//
// Failure: all instances start anew while the log is down. It would show as
// entries that call every key unknown. The guard holds since an instance
// without a view answers nobody, and so none takes an empty fold for the truth.
func (f *Follower) ReadRecords(from galenastair.Offset) (galenastair.Batch, error) {
	if f.view.Load() == nil {
		return galenastair.Batch{}, ErrNoView
	}
	return f.tail.read(from), nil
}

// FetchFold returns a snapshot of the newest view, for a peer.
func (f *Follower) FetchFold() ([]byte, error) {
	v := f.view.Load()
	if v == nil {
		return nil, ErrNoView
	}
	return v.Snapshot(), nil
}

// askPeers takes from other instances what the log does not give now.
//
// Failure: an instance starts, or lags behind an accepted change, while the log
// is down or out of its reach. It would show as an entry that never gets ready,
// or that lets a withdrawn key in for as long as the outage lasts. The guard
// holds since peers hold what they read before it, and only higher offsets are taken.
func (f *Follower) askPeers(ctx context.Context) {
	if f.peers == nil {
		return
	}
	err := f.recordsFromPeers(ctx)
	if errors.Is(err, galenastair.ErrExpired) {
		err = f.foldFromPeers(ctx)
	}
	if err != nil {
		_ = level.Debug(f.logger).Log("msg", "no configuration from other instances", "err", err)
	}
}

func (f *Follower) recordsFromPeers(ctx context.Context) error {
	from := f.reader.fold.Next()
	batch, err := f.peers.ReadRecords(ctx, galenastair.ConfigurationStream, from)
	if err != nil {
		return err
	}
	if batch.Next <= from {
		f.caughtUpWithPeer(batch.Next)
		return nil
	}
	if batch.First > from {
		return galenastair.ErrExpired
	}
	if err := f.reader.apply(batch.Records); err != nil {
		return err
	}
	f.publish()
	return nil
}

func (f *Follower) foldFromPeers(ctx context.Context) error {
	data, err := f.peers.FetchFold(ctx, galenastair.ConfigurationStream)
	if err != nil {
		return err
	}
	fold, err := Restore(data)
	if err != nil {
		return err
	}
	if f.reader.adopt(fold) {
		f.tail.reset(fold.Next())
		f.publish()
	}
	return nil
}
