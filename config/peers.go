package config

import (
	"context"
	"time"

	"github.com/go-kit/log/level"
	"github.com/rotisserie/eris"

	"galenastair"
)

var (
	// ErrNoPeer is returned when no other instance could respond.
	ErrNoPeer = eris.New("no other instance responded")
	// ErrNotCaughtUp is returned by an instance that has not caught up with the log yet, and
	// so cannot serve its peers.
	ErrNotCaughtUp = eris.New("no configuration is in force here yet")
)

// PeerResponse is the response of one peer to a read of a stream.
type PeerResponse struct {
	Peer  Peer
	Batch galenastair.Batch
	// LogAge is the time since the log last answered the peer; it is negative if it never did.
	LogAge time.Duration
}

// PeerClient sends requests to the other instances of the last known epoch.
type PeerClient interface {
	// Members returns the other instances.
	Members() []Peer
	// ReadRecords asks some members of each availability zone, different ones on each call,
	// for the records from an offset on, and returns the responses received in time.
	ReadRecords(ctx context.Context, s galenastair.Stream, from galenastair.Offset) []PeerResponse
	// FetchSnapshot asks one member for a snapshot of its state.
	FetchSnapshot(ctx context.Context, s galenastair.Stream, p Peer) ([]byte, error)
}

// noPeers is the PeerClient of an instance without peers.
type noPeers struct{}

func (noPeers) Members() []Peer { return nil }

func (noPeers) ReadRecords(context.Context, galenastair.Stream, galenastair.Offset) []PeerResponse {
	return nil
}

func (noPeers) FetchSnapshot(context.Context, galenastair.Stream, Peer) ([]byte, error) {
	return nil, ErrNoPeer
}

// readFromPeers reads records from other instances while the log does not answer.
//
// Without it, an instance that starts while the log is down or unreachable would never
// become ready, and one that lags behind an accepted change would accept a withdrawn key
// for the whole outage. Peers keep the records that they read before the outage, and only
// higher offsets are applied.
func (f *Follower) readFromPeers(ctx context.Context) {
	f.detector.beginRound()
	responses := f.peers.ReadRecords(ctx, galenastair.ConfigurationStream, f.reader.sm.Next())
	now := f.clock.Now()
	var best *PeerResponse
	for i := range responses {
		r := &responses[i]
		f.detector.recordResponse(now, r.Peer.AvailabilityZone, r.LogAge, r.LogAge >= 0)
		if best == nil || r.Batch.Next > best.Batch.Next {
			best = r
		}
	}
	if best == nil {
		return
	}
	if err := f.applyPeerResponse(ctx, best); err != nil {
		_ = level.Warn(f.logger).Log("msg", "cannot apply configuration from peer", "peer", best.Peer.ID, "err", err)
	}
}

func (f *Follower) applyPeerResponse(ctx context.Context, r *PeerResponse) error {
	next := f.reader.sm.Next()
	switch {
	case r.Batch.Next < next:
		return nil
	case r.Batch.Next > next && r.Batch.First > next:
		return f.restoreFromPeer(ctx, r.Peer)
	}
	if err := f.reader.apply(r.Batch.Records); err != nil {
		return err
	}
	f.publish()
	return nil
}

func (f *Follower) restoreFromPeer(ctx context.Context, p Peer) error {
	data, err := f.peers.FetchSnapshot(ctx, galenastair.ConfigurationStream, p)
	if err != nil {
		return err
	}
	sm, err := Restore(data)
	if err != nil {
		return err
	}
	if f.reader.installIfNewer(sm) {
		f.tail.reset(sm.Next())
		f.publish()
	}
	return nil
}
