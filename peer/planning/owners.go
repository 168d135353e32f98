package planning

import (
	"context"
	"time"

	"galenastair"
	"galenastair/account"
	"galenastair/lease"
	"galenastair/peer/planningpb"
	"galenastair/planner"
)

// Charge charges a request's cost to an organisation's account at the instance that owns it.
// The two instances also exchange the latest leader record that they know.
func (c *Client) Charge(ctx context.Context, address string, o galenastair.Organisation, cost float64, known lease.Record) (account.ChargeResult, lease.Record, error) {
	ctx, cancel := context.WithTimeout(ctx, blockingCallTimeout)
	defer cancel()
	reply, err := c.client(address).Charge(ctx, &planningpb.ChargeRequest{Organisation: string(o), Cost: cost, Leader: encodeLeader(known)})
	if err != nil {
		return account.ChargeResult{}, lease.Record{}, err
	}
	v := account.ChargeResult{Owned: reply.Owned, Granted: reply.Granted, RetryAfter: time.Duration(reply.WaitMs) * time.Millisecond}
	return v, decodeLeader(reply.Leader), nil
}

// LatestRecord exchanges the latest known records of the lease with another instance.
func (c *Client) LatestRecord(ctx context.Context, address string, known lease.Record) (lease.Record, error) {
	_, latest, err := c.Charge(ctx, address, "", 0, known)
	return latest, err
}

// Charge implements planningpb.Planning.
func (s *server) Charge(_ context.Context, req *planningpb.ChargeRequest) (*planningpb.ChargeReply, error) {
	v, known := s.planner.Charge(galenastair.Organisation(req.Organisation), req.Cost, decodeLeader(req.Leader))
	return &planningpb.ChargeReply{Owned: v.Owned, Granted: v.Granted, WaitMs: uint32(v.RetryAfter.Milliseconds()), Leader: encodeLeader(known)}, nil
}

func encodeLeader(r lease.Record) *planningpb.Leader {
	return &planningpb.Leader{Address: r.Leader, Renewal: int64(r.Offset)}
}

func decodeLeader(l *planningpb.Leader) lease.Record {
	if l == nil || l.Address == "" {
		return lease.Record{Offset: -1}
	}
	return lease.Record{Offset: galenastair.Offset(l.Renewal), Leader: l.Address}
}

func encodeOwners(out *planningpb.ExchangeReply, n planner.Update) {
	out.TableVersion, out.Owners = n.TableVersion, n.Table.Owners
	for _, g := range n.Grants {
		out.Grants = append(out.Grants, &planningpb.Grant{Shard: uint32(g.Shard), HalfMs: uint32(g.HalfRateFor.Milliseconds())})
	}
}

func decodeOwners(r *planningpb.ExchangeReply, n *planner.Update) {
	n.TableVersion = r.TableVersion
	if len(r.Owners) > 0 {
		n.Table = account.Table{Version: r.TableVersion, Owners: r.Owners}
	}
	for _, g := range r.Grants {
		n.Grants = append(n.Grants, account.Grant{Shard: account.Shard(g.Shard), HalfRateFor: time.Duration(g.HalfMs+1) * time.Millisecond})
	}
}
