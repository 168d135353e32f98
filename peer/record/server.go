package record

import (
	"context"
	"net/http"
	"time"

	"github.com/twitchtv/twirp"

	"galenastair"
	"galenastair/peer/recordpb"
)

// PathPrefix is where the service is mounted on the peers' port.
const PathPrefix = recordpb.RecordsPathPrefix

// Source is one stream as this instance has folded it.
type Source interface {
	ReadRecords(from galenastair.Offset) (galenastair.Batch, error)
	FetchSnapshot() ([]byte, error)
	// LogAge is negative if the log has never answered.
	LogAge() time.Duration
}

type server struct{ sources map[galenastair.Stream]Source }

// NewServer returns the handler that gives peers what the sources hold.
func NewServer(sources map[galenastair.Stream]Source) http.Handler {
	return recordpb.NewRecordsServer(&server{sources})
}

// ReadRecords answers a peer that cannot read the log.
func (s *server) ReadRecords(_ context.Context, req *recordpb.ReadRecordsRequest) (*recordpb.ReadRecordsReply, error) {
	source, found := s.sources[galenastair.Stream(req.Stream)]
	if !found {
		return nil, twirp.NotFoundError("stream")
	}
	batch, err := source.ReadRecords(galenastair.Offset(req.From))
	if err != nil {
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	reply := &recordpb.ReadRecordsReply{First: int64(batch.First), Next: int64(batch.Next), LogAgeMs: encodeAge(source.LogAge())}
	for _, rec := range batch.Records {
		reply.Records = append(reply.Records, &recordpb.Record{Offset: int64(rec.Offset), Data: rec.Data})
	}
	return reply, nil
}

// FetchFold answers a peer that needs more than the records that are held.
func (s *server) FetchFold(_ context.Context, req *recordpb.FetchFoldRequest) (*recordpb.FetchFoldReply, error) {
	source, found := s.sources[galenastair.Stream(req.Stream)]
	if !found {
		return nil, twirp.NotFoundError("stream")
	}
	data, err := source.FetchSnapshot()
	if err != nil {
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	return &recordpb.FetchFoldReply{Snapshot: data}, nil
}

// encodeAge leaves zero, which the codec does not tell from nothing, for never.
func encodeAge(age time.Duration) int64 {
	if age < 0 {
		return 0
	}
	return age.Milliseconds() + 1
}

func decodeAge(ms int64) time.Duration { return time.Duration(ms-1) * time.Millisecond }
