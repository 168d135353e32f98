package member

import (
	"context"
	"time"

	"github.com/twitchtv/twirp"

	"galenastair"
	"galenastair/peer/memberpb"
)

// server handles the calls of peers on the control loop.
type server struct{ r *Runtime }

func serveOnLoop[T any](ctx context.Context, r *Runtime, f func(now time.Time) T) (T, error) {
	reply, err := runOnLoop(ctx, r, func() T { return f(r.clock.Now()) })
	if err != nil {
		return reply, twirp.WrapError(twirp.NewError(twirp.Unavailable, "the control loop does not answer"), err)
	}
	return reply, nil
}

// Heartbeat handles a member's request for a lease.
func (s *server) Heartbeat(ctx context.Context, req *memberpb.HeartbeatRequest) (*memberpb.HeartbeatReply, error) {
	return serveOnLoop(ctx, s.r, func(now time.Time) *memberpb.HeartbeatReply {
		n := s.r.node
		n.MergeGossip(now, decodeGossip(req.News))
		granted := n.HandleHeartbeat(now, decodeHeartbeat(req))
		return &memberpb.HeartbeatReply{
			GrantedMs: granted.Milliseconds(), News: encodeGossip(n.Gossip(now, req.Fresh)), Handover: encodeHandover(n.Handover(now)),
		}
	})
}

// Tell exchanges gossip.
func (s *server) Tell(ctx context.Context, req *memberpb.News) (*memberpb.News, error) {
	return serveOnLoop(ctx, s.r, func(now time.Time) *memberpb.News {
		s.r.node.MergeGossip(now, decodeGossip(req))
		return encodeGossip(s.r.node.Gossip(now, false))
	})
}

// Admit handles the request of an instance to join.
func (s *server) Admit(ctx context.Context, req *memberpb.AdmitRequest) (*memberpb.AdmitReply, error) {
	joiner := Member{
		ID: galenastair.InstanceID(req.Id), AvailabilityZone: galenastair.AvailabilityZone(req.AvailabilityZone),
		PeerAddress: req.PeerAddress, Token: req.Token,
	}
	if joiner.ID == "" || joiner.PeerAddress == "" || joiner.Token == "" {
		return nil, twirp.RequiredArgumentError("id, peer_address, token")
	}
	return serveOnLoop(ctx, s.r, func(now time.Time) *memberpb.AdmitReply {
		admission := s.r.node.Admit(now, joiner)
		return &memberpb.AdmitReply{Admission: string(admission), News: encodeGossip(s.r.node.Gossip(now, true))}
	})
}

// Probe returns the token of this process, without going through the control loop.
func (s *server) Probe(context.Context, *memberpb.ProbeRequest) (*memberpb.ProbeReply, error) {
	return &memberpb.ProbeReply{Token: s.r.self.Token}, nil
}
