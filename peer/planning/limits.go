package planning

import (
	"context"
	"errors"
	"time"

	"galenastair"
	"galenastair/peer/planningpb"
	"galenastair/planner"
	"galenastair/ratelimit"
)

func encodeLimit(l ratelimit.Limit) *planningpb.Limit {
	return &planningpb.Limit{Server: string(l.Server), PerSecond: l.PerSecond, AgeMs: uint32(l.Age.Milliseconds())}
}

func encodeLimits(limits []ratelimit.Limit) []*planningpb.Limit {
	var out []*planningpb.Limit
	for _, l := range limits {
		out = append(out, encodeLimit(l))
	}
	return out
}

func decodeLimit(l *planningpb.Limit) ratelimit.Limit {
	return ratelimit.Limit{
		Server:    galenastair.BackendServerID(l.GetServer()),
		PerSecond: l.GetPerSecond(),
		Age:       time.Duration(l.GetAgeMs()) * time.Millisecond,
	}
}

func decodeLimits(limits []*planningpb.Limit) []ratelimit.Limit {
	var out []ratelimit.Limit
	for _, l := range limits {
		out = append(out, decodeLimit(l))
	}
	return out
}

// Admit asks whether a request may be sent to a backend server with a rate limit.
func (c *Client) Admit(ctx context.Context, address string, l ratelimit.Limit, maxWait time.Duration) (ratelimit.Decision, error) {
	ctx, cancel := context.WithTimeout(ctx, blockingCallTimeout)
	defer cancel()
	reply, err := c.client(address).Admit(ctx, &planningpb.AdmitRequest{Limit: encodeLimit(l), PatienceMs: uint32(maxWait.Milliseconds())})
	if err != nil {
		return ratelimit.Decision{}, err
	}
	if !reply.Holds {
		return ratelimit.Decision{}, planner.ErrNotLeader
	}
	return ratelimit.Decision{Granted: reply.Granted, Delay: time.Duration(reply.WaitMs) * time.Millisecond}, nil
}

// Admit implements planningpb.Planning.
func (s *server) Admit(_ context.Context, req *planningpb.AdmitRequest) (*planningpb.AdmitReply, error) {
	v, err := s.planner.Admit(decodeLimit(req.Limit), time.Duration(req.PatienceMs)*time.Millisecond)
	if errors.Is(err, planner.ErrNotLeader) {
		return &planningpb.AdmitReply{}, nil
	}
	if err != nil {
		return nil, err
	}
	return &planningpb.AdmitReply{Holds: true, Granted: v.Granted, WaitMs: uint32(v.Delay.Milliseconds())}, nil
}
