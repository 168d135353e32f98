package planning

import (
	"context"
	"errors"
	"time"

	"galenastair"
	"galenastair/peer/planningpb"
	"galenastair/permit"
	"galenastair/pool"
)

// ErrNotIssuer reports that the called instance does not issue the permits of a backend server.
var ErrNotIssuer = errors.New("the instance does not issue the permits of the backend server")

func encodeBrittle(services []pool.BrittleService) []*planningpb.BrittleService {
	var out []*planningpb.BrittleService
	for _, b := range services {
		out = append(out, &planningpb.BrittleService{Service: string(b.Service), AgeMs: uint32(b.Age.Milliseconds())})
	}
	return out
}

func decodeBrittle(services []*planningpb.BrittleService) []pool.BrittleService {
	var out []pool.BrittleService
	for _, b := range services {
		out = append(out, pool.BrittleService{Service: galenastair.ServiceName(b.Service), Age: time.Duration(b.AgeMs) * time.Millisecond})
	}
	return out
}

// AcquirePermit asks another instance for a permit to send a request to a brittle backend server.
func (c *Client) AcquirePermit(ctx context.Context, address string, r permit.Request) (permit.Decision, error) {
	ctx, cancel := context.WithTimeout(ctx, r.MaxWait+blockingCallTimeout)
	defer cancel()
	reply, err := c.client(address).AcquirePermit(ctx, &planningpb.PermitRequest{Server: string(r.Server), Limit: uint32(r.Limit), MaxWaitMs: uint32(r.MaxWait.Milliseconds())})
	if err != nil {
		return permit.Decision{}, err
	}
	if !reply.Issues {
		return permit.Decision{}, ErrNotIssuer
	}
	return permit.Decision{ID: permit.ID(reply.Id), Delay: time.Duration(reply.DelayMs) * time.Millisecond}, nil
}

// UpdatePermits tells another instance what this one has in flight at brittle backend servers.
func (c *Client) UpdatePermits(ctx context.Context, address, self string, usages []permit.Usage) error {
	ctx, cancel := context.WithTimeout(ctx, blockingCallTimeout)
	defer cancel()
	update := &planningpb.PermitUpdate{Instance: self}
	for _, u := range usages {
		update.Usages = append(update.Usages, &planningpb.PermitUsage{
			Server: string(u.Server), Held: encodePermits(u.Held), Released: encodePermits(u.Released),
			Unpermitted: uint32(u.Unpermitted), DeclineLimit: u.DeclineLimit,
		})
	}
	_, err := c.client(address).UpdatePermits(ctx, update)
	return err
}

func encodePermits(ids []permit.ID) []uint64 {
	out := make([]uint64, 0, len(ids))
	for _, id := range ids {
		out = append(out, uint64(id))
	}
	return out
}

func decodePermits(ids []uint64) []permit.ID {
	out := make([]permit.ID, 0, len(ids))
	for _, id := range ids {
		out = append(out, permit.ID(id))
	}
	return out
}

// AcquirePermit implements planningpb.Planning.
func (s *server) AcquirePermit(ctx context.Context, req *planningpb.PermitRequest) (*planningpb.PermitReply, error) {
	d, issues := s.planner.AcquirePermit(ctx, permit.Request{
		Server: galenastair.BackendServerID(req.Server), Limit: int(req.Limit), MaxWait: time.Duration(req.MaxWaitMs) * time.Millisecond,
	})
	return &planningpb.PermitReply{Issues: issues, Id: uint64(d.ID), DelayMs: uint32(d.Delay.Milliseconds())}, nil
}

// UpdatePermits implements planningpb.Planning.
func (s *server) UpdatePermits(_ context.Context, req *planningpb.PermitUpdate) (*planningpb.PermitReceipt, error) {
	var usages []permit.Usage
	for _, u := range req.Usages {
		usages = append(usages, permit.Usage{
			Server: galenastair.BackendServerID(u.Server), Held: decodePermits(u.Held), Released: decodePermits(u.Released),
			Unpermitted: int(u.Unpermitted), DeclineLimit: u.DeclineLimit,
		})
	}
	s.planner.UpdatePermits(req.Instance, usages)
	return &planningpb.PermitReceipt{}, nil
}
