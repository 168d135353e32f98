package record

import (
	"context"
	"net/http"
	"time"

	"github.com/twitchtv/twirp"

	"galenastair"
	"galenastair/peer/recordpb"
)

// PathPrefix is the path prefix of the service on the peers' port.
const PathPrefix = recordpb.RecordsPathPrefix

// Source provides the records of one stream that this instance holds, and a snapshot of
// the state built from them.
type Source interface {
	ReadRecords(from galenastair.Offset) (galenastair.Batch, error)
	FetchSnapshot() ([]byte, error)
	// LogAge returns the time since the last response of the log; it is negative if there
	// was none.
	LogAge() time.Duration
}

type server struct{ sources map[galenastair.Stream]Source }

// NewServer returns an HTTP handler that serves the sources to peers.
func NewServer(sources map[galenastair.Stream]Source) http.Handler {
	return recordpb.NewRecordsServer(&server{sources})
}

// ReadRecords implements recordpb.Records.
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

// FetchFold implements recordpb.Records. Peers call it if they need older records than
// this instance holds.
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

// encodeAge returns milliseconds plus one. Zero means never, as proto3 does not
// distinguish zero from a field that is not set.
func encodeAge(age time.Duration) int64 {
	if age < 0 {
		return 0
	}
	return age.Milliseconds() + 1
}

func decodeAge(ms int64) time.Duration { return time.Duration(ms-1) * time.Millisecond }
