package planning

import (
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"galenastair/peer/planningpb"
	"galenastair/planner"
	"galenastair/stream"
)

// Guards against a list of software versions that arrives changed, or one that is sent with each exchange.
func TestVersionsArriveAsSent(t *testing.T) {
	is := is.New(t)
	list := stream.VersionList{"writer": {"v1": true, "v2": false}, "app": {"v1": true}}
	update := planner.Update{VersionDigest: list.Digest(), Versions: list}
	reply := encodeUpdate(update)
	got := decodeUpdate(reply)
	is.Equal(got.VersionDigest, list.Digest())
	is.Equal(got.Versions, list)
	update.Versions = nil
	got = decodeUpdate(encodeUpdate(update))
	is.True(got.Versions == nil)
	req := encodeReport(planner.Report{VersionDigest: list.Digest()})
	is.Equal(stream.VersionDigest(req.VersionsSeen), list.Digest())
	t.Logf("%d bytes a report, %d a list of 3 versions", proto.Size(&planningpb.ExchangeRequest{VersionsSeen: req.VersionsSeen}), proto.Size(&planningpb.ExchangeReply{Versions: reply.Versions}))
}
