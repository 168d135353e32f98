package planning

import (
	"context"
	"time"

	"galenastair"
	"galenastair/peer/planningpb"
)

// fetchTimeout is for a record of the largest size over a small link that others share; one
// that is given up is sent again, over the same link.
const fetchTimeout = 800 * time.Millisecond

// Fetch returns what another instance has read of a topic from an offset on.
func (c *Client) Fetch(ctx context.Context, address string, t galenastair.Topic, from galenastair.Offset) (galenastair.KeyedBatch, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	reply, err := c.at(address).Fetch(ctx, &planningpb.Position{Topic: string(t), From: int64(from)})
	if err != nil {
		return galenastair.KeyedBatch{}, err
	}
	b := decodeRecords(reply.From, reply.Skipped, reply.Records)
	b.End = b.Next
	return b, nil
}

// Fetch answers with what this instance has read.
func (s *server) Fetch(_ context.Context, req *planningpb.Position) (*planningpb.Records, error) {
	b := s.planner.Fetch(galenastair.Topic(req.Topic), galenastair.Offset(req.From))
	return &planningpb.Records{From: int64(b.From()), Skipped: int64(b.Skipped), Records: encodeRecords(b.Records)}, nil
}

func encodeRecords(records []galenastair.KeyedRecord) []*planningpb.Record {
	var out []*planningpb.Record
	for _, r := range records {
		out = append(out, &planningpb.Record{Key: r.Key, Value: r.Value, Offset: int64(r.Offset)})
	}
	return out
}

// decodeRecords takes the offsets of consecutive records from their place, as senders of
// before there were gaps do not give them.
func decodeRecords(from, skipped int64, records []*planningpb.Record) galenastair.KeyedBatch {
	b := galenastair.KeyedBatch{Next: galenastair.Offset(from + skipped + int64(len(records))), Skipped: galenastair.Offset(skipped)}
	for i, r := range records {
		offset := galenastair.Offset(r.Offset)
		if skipped == 0 {
			offset = galenastair.Offset(from + int64(i))
		}
		b.Records = append(b.Records, galenastair.KeyedRecord{Key: r.Key, Value: r.Value, Offset: offset})
	}
	return b
}
