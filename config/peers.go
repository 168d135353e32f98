package config

import (
	"context"
	"time"

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

// Answer is what one peer gave of a stream.
type Answer struct {
	Peer  Peer
	Batch galenastair.Batch
	// LogAge is how long ago the log answered the peer; it is negative if it never did.
	LogAge time.Duration
}

// Peers reaches the other instances of the last known epoch.
type Peers interface {
	// Members lists them, without this one.
	Members() []Peer
	// ReadRecords asks some members of each availability zone, others each time, for
	// records from an offset on, and returns the answers that came in time.
	ReadRecords(ctx context.Context, s galenastair.Stream, from galenastair.Offset) []Answer
	// FetchFold asks one member for the snapshot of its fold.
	FetchFold(ctx context.Context, s galenastair.Stream, p Peer) ([]byte, error)
}

// noPeers is what an instance has that was told of none.
type noPeers struct{}

func (noPeers) Members() []Peer { return nil }

func (noPeers) ReadRecords(context.Context, galenastair.Stream, galenastair.Offset) []Answer {
	return nil
}

func (noPeers) FetchFold(context.Context, galenastair.Stream, Peer) ([]byte, error) {
	return nil, ErrNoPeer
}

// askPeers takes from other instances what the log does not give now.
//
// Failure: an instance starts, or lags behind an accepted change, while the log
// is down or out of its reach. It would show as an entry that never gets ready,
// or that lets a withdrawn key in for as long as the outage lasts. The guard
// holds since peers hold what they read before it, and only higher offsets are taken.
func (f *Follower) askPeers(ctx context.Context) {
	f.reach.ask()
	answers := f.peers.ReadRecords(ctx, galenastair.ConfigurationStream, f.reader.fold.Next())
	now := f.clock.Now()
	var best *Answer
	for i := range answers {
		a := &answers[i]
		f.reach.hear(now, a.Peer.AvailabilityZone, a.LogAge, a.LogAge >= 0)
		if best == nil || a.Batch.Next > best.Batch.Next {
			best = a
		}
	}
	if best == nil {
		return
	}
	if err := f.take(ctx, best); err != nil {
		_ = level.Warn(f.logger).Log("msg", "the configuration of another instance was not taken", "peer", best.Peer.ID, "err", err)
	}
}

func (f *Follower) take(ctx context.Context, a *Answer) error {
	next := f.reader.fold.Next()
	switch {
	case a.Batch.Next < next:
		return nil
	case a.Batch.Next > next && a.Batch.First > next:
		return f.takeFold(ctx, a.Peer)
	}
	if err := f.reader.apply(a.Batch.Records); err != nil {
		return err
	}
	f.publish()
	return nil
}

func (f *Follower) takeFold(ctx context.Context, p Peer) error {
	data, err := f.peers.FetchFold(ctx, galenastair.ConfigurationStream, p)
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
