package member

import (
	"context"
	"time"

	"github.com/twitchtv/twirp"

	"galenastair"
	"galenastair/peer/memberpb"
)

// server answers the peers on the control loop.
type server struct{ r *Runtime }

func answer[T any](ctx context.Context, r *Runtime, f func(now time.Time) T) (T, error) {
	reply, err := onLoop(ctx, r, func() T { return f(r.clock.Now()) })
	if err != nil {
		return reply, twirp.WrapError(twirp.NewError(twirp.Unavailable, "the control loop does not answer"), err)
	}
	return reply, nil
}

// Heartbeat answers a member that asks for a promise.
func (s *server) Heartbeat(ctx context.Context, req *memberpb.HeartbeatRequest) (*memberpb.HeartbeatReply, error) {
	return answer(ctx, s.r, func(now time.Time) *memberpb.HeartbeatReply {
		n := s.r.node
		n.MergeNews(now, decodeNews(req.News))
		granted := n.Promise(now, decodeHeartbeat(req))
		return &memberpb.HeartbeatReply{
			GrantedMs: granted.Milliseconds(), News: encodeNews(n.News(now, req.Fresh)), Handover: encodeHandover(n.Handover(now)),
		}
	})
}

// Tell exchanges news.
func (s *server) Tell(ctx context.Context, req *memberpb.News) (*memberpb.News, error) {
	return answer(ctx, s.r, func(now time.Time) *memberpb.News {
		s.r.node.MergeNews(now, decodeNews(req))
		return encodeNews(s.r.node.News(now, false))
	})
}

// Admit answers an instance that wants to join.
func (s *server) Admit(ctx context.Context, req *memberpb.AdmitRequest) (*memberpb.AdmitReply, error) {
	joiner := Member{
		ID: galenastair.InstanceID(req.Id), AvailabilityZone: galenastair.AvailabilityZone(req.AvailabilityZone),
		PeerAddress: req.PeerAddress, Token: req.Token,
	}
	if joiner.ID == "" || joiner.PeerAddress == "" || joiner.Token == "" {
		return nil, twirp.RequiredArgumentError("id, peer_address, token")
	}
	return answer(ctx, s.r, func(now time.Time) *memberpb.AdmitReply {
		admission := s.r.node.Admit(now, joiner)
		return &memberpb.AdmitReply{Admission: string(admission), News: encodeNews(s.r.node.News(now, true))}
	})
}

// Probe tells which process answers here; it needs no control loop.
func (s *server) Probe(context.Context, *memberpb.ProbeRequest) (*memberpb.ProbeReply, error) {
	return &memberpb.ProbeReply{Token: s.r.self.Token}, nil
}
