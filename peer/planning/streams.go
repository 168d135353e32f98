package planning

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"galenastair"
	"galenastair/peer/planningpb"
	"galenastair/stream"
)

// RecordStreams has another instance keep where streams began.
func (c *Client) RecordStreams(ctx context.Context, address string, records []stream.Record) (stream.Incarnation, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := c.client(address).RecordStreams(ctx, encodeStreams(records))
	if err != nil {
		return 0, err
	}
	return stream.Incarnation(reply.Incarnation), nil
}

// StreamOrigin asks another instance where a stream began.
func (c *Client) StreamOrigin(ctx context.Context, address string, k stream.Key, s galenastair.ServiceName) (stream.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, blockingCallTimeout)
	defer cancel()
	reply, err := c.client(address).StreamOrigin(ctx, &planningpb.StreamQuery{Key: uint64(k), Service: string(s)})
	if err != nil {
		return stream.Answer{}, err
	}
	a := stream.Answer{Known: reply.Known, Fresh: reply.Fresh, Loaded: reply.Loaded}
	a.Origin = stream.Origin{Service: galenastair.ServiceName(reply.Service), Version: galenastair.SoftwareVersion(reply.Version)}
	for _, v := range reply.Versions {
		a.Versions = append(a.Versions, galenastair.SoftwareVersion(v))
	}
	return a, nil
}

// MarshalStreams encodes records for the store.
func MarshalStreams(records []stream.Record) ([]byte, error) {
	return proto.Marshal(encodeStreams(records))
}

// UnmarshalStreams decodes records from the store.
func UnmarshalStreams(data []byte) ([]stream.Record, error) {
	var records planningpb.StreamRecords
	if err := proto.Unmarshal(data, &records); err != nil {
		return nil, eris.Wrap(err, "decode records of streams")
	}
	return decodeStreams(&records), nil
}

func encodeStreams(records []stream.Record) *planningpb.StreamRecords {
	out := &planningpb.StreamRecords{}
	groups := map[stream.Origin]*planningpb.StreamGroup{}
	for _, r := range records {
		g := groups[r.Origin]
		if g == nil {
			g = &planningpb.StreamGroup{Service: string(r.Origin.Service), Version: string(r.Origin.Version)}
			groups[r.Origin] = g
			out.Groups = append(out.Groups, g)
		}
		g.Keys, g.LeftS = append(g.Keys, uint64(r.Key)), append(g.LeftS, uint32(r.TimeLeft.Seconds())+1)
	}
	return out
}

func decodeStreams(records *planningpb.StreamRecords) []stream.Record {
	var out []stream.Record
	for _, g := range records.Groups {
		origin := stream.Origin{Service: galenastair.ServiceName(g.Service), Version: galenastair.SoftwareVersion(g.Version)}
		for i, k := range g.Keys[:min(len(g.Keys), len(g.LeftS))] {
			out = append(out, stream.Record{Key: stream.Key(k), Origin: origin, TimeLeft: time.Duration(g.LeftS[i]) * time.Second})
		}
	}
	return out
}

// RecordStreams implements planningpb.Planning.
func (s *server) RecordStreams(_ context.Context, req *planningpb.StreamRecords) (*planningpb.StreamReceipt, error) {
	return &planningpb.StreamReceipt{Incarnation: int64(s.planner.RecordStreams(decodeStreams(req)))}, nil
}

// StreamOrigin implements planningpb.Planning.
func (s *server) StreamOrigin(_ context.Context, req *planningpb.StreamQuery) (*planningpb.StreamAnswer, error) {
	a := s.planner.StreamOrigin(stream.Key(req.Key), galenastair.ServiceName(req.Service))
	out := &planningpb.StreamAnswer{Known: a.Known, Service: string(a.Origin.Service), Version: string(a.Origin.Version), Fresh: a.Fresh, Loaded: a.Loaded}
	for _, v := range a.Versions {
		out.Versions = append(out.Versions, string(v))
	}
	return out, nil
}
