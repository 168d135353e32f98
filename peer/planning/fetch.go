package planning

import (
	"context"
	"time"

	"galenastair"
	"galenastair/peer/planningpb"
)

// fetchTimeout is sufficient for a record of the maximum size over a slow, shared link. A
// fetch that times out is repeated and uses the same link again.
const fetchTimeout = 800 * time.Millisecond

// Fetch returns the records of a topic that another instance has read, from an offset on.
func (c *Client) Fetch(ctx context.Context, address string, t galenastair.Topic, from galenastair.Offset) (galenastair.KeyedBatch, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	reply, err := c.client(address).Fetch(ctx, &planningpb.Position{Topic: string(t), From: int64(from)})
	if err != nil {
		return galenastair.KeyedBatch{}, err
	}
	b := decodeRecords(reply.From, reply.Skipped, reply.Records)
	b.End = b.Next
	return b, nil
}

// Fetch implements planningpb.Planning.
func (s *server) Fetch(_ context.Context, req *planningpb.Position) (*planningpb.Records, error) {
	b := s.planner.Fetch(galenastair.Topic(req.Topic), galenastair.Offset(req.From))
	return &planningpb.Records{From: int64(b.From()), Skipped: int64(b.Skipped), Records: encodeRecords(b.Records)}, nil
}

func encodeRecords(records []galenastair.KeyedRecord) []*planningpb.Record {
	var out []*planningpb.Record
	for _, r := range records {
		out = append(out, &planningpb.Record{Key: []byte(r.Key), Value: r.Value, Offset: int64(r.Offset)})
	}
	return out
}

// decodeRecords computes the offsets of consecutive records from their index, because older
// senders, which never skip records, do not send offsets.
func decodeRecords(from, skipped int64, records []*planningpb.Record) galenastair.KeyedBatch {
	b := galenastair.KeyedBatch{Next: galenastair.Offset(from + skipped + int64(len(records))), Skipped: galenastair.Offset(skipped)}
	for i, r := range records {
		offset := galenastair.Offset(r.Offset)
		if skipped == 0 {
			offset = galenastair.Offset(from + int64(i))
		}
		b.Records = append(b.Records, galenastair.KeyedRecord{Key: string(r.Key), Value: r.Value, Offset: offset})
	}
	return b
}
