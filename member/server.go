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

func (s *server) do(ctx context.Context, f func(now time.Time)) error {
	err := s.r.loop.Do(ctx, func() {
		f(s.r.clock.Now())
		s.r.after()
	})
	if err != nil {
		return twirp.WrapError(twirp.NewError(twirp.Unavailable, "the control loop does not answer"), err)
	}
	return nil
}

// Heartbeat answers a member that asks for a promise.
func (s *server) Heartbeat(ctx context.Context, req *memberpb.HeartbeatRequest) (*memberpb.HeartbeatReply, error) {
	reply := &memberpb.HeartbeatReply{}
	err := s.do(ctx, func(now time.Time) {
		s.r.node.Hear(now, decodeNews(req.News))
		mine := Incarnation(req.To) == s.r.node.self.Incarnation
		reply.Promised = mine && s.r.node.Promise(now, Incarnation(req.From))
		reply.News = encodeNews(s.r.node.News(now, req.Fresh))
	})
	return reply, err
}

// Tell exchanges news.
func (s *server) Tell(ctx context.Context, req *memberpb.News) (*memberpb.News, error) {
	var reply *memberpb.News
	err := s.do(ctx, func(now time.Time) {
		s.r.node.Hear(now, decodeNews(req))
		reply = encodeNews(s.r.node.News(now, false))
	})
	return reply, err
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
	reply := &memberpb.AdmitReply{}
	err := s.do(ctx, func(now time.Time) {
		reply.Admission = string(s.r.node.Admit(now, joiner))
		reply.News = encodeNews(s.r.node.News(now, true))
	})
	return reply, err
}

// Probe tells which process answers here; it needs no control loop.
func (s *server) Probe(context.Context, *memberpb.ProbeRequest) (*memberpb.ProbeReply, error) {
	return &memberpb.ProbeReply{Token: s.r.self.Token}, nil
}
