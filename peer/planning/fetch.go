package planning

import (
	"context"

	"galenastair"
	"galenastair/peer/planningpb"
)

// Fetch returns what another instance has read of a topic from an offset on.
func (c *Client) Fetch(ctx context.Context, address string, t galenastair.Topic, from galenastair.Offset) (galenastair.KeyedBatch, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := c.at(address).Fetch(ctx, &planningpb.Position{Topic: string(t), From: int64(from)})
	if err != nil {
		return galenastair.KeyedBatch{}, err
	}
	b := galenastair.KeyedBatch{Next: galenastair.Offset(reply.From)}
	for _, r := range reply.Records {
		b.Records = append(b.Records, galenastair.KeyedRecord{Key: r.Key, Value: r.Value, Offset: b.Next})
		b.Next++
	}
	b.End = b.Next
	return b, nil
}

// Fetch answers with what this instance has read.
func (s *server) Fetch(_ context.Context, req *planningpb.Position) (*planningpb.Records, error) {
	b := s.planner.Fetch(galenastair.Topic(req.Topic), galenastair.Offset(req.From))
	out := &planningpb.Records{From: int64(b.Next) - int64(len(b.Records))}
	for _, r := range b.Records {
		out.Records = append(out.Records, &planningpb.Record{Key: r.Key, Value: r.Value})
	}
	return out, nil
}
