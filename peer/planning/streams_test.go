package planning

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"galenastair"
	"galenastair/stream"
)

// Guards against records that other instances decode differently, and messages that outgrow their budget.
func TestStreamRecordsArriveAsSent(t *testing.T) {
	is := is.New(t)
	var sent []stream.Record
	for i := range 40 {
		origin := stream.Origin{Service: "diary-writer", Version: galenastair.SoftwareVersion([]string{"v1", "v1.1"}[i%2])}
		sent = append(sent, stream.Record{Key: stream.Key(1)<<63 + stream.Key(i), Origin: origin, TimeLeft: time.Duration(i) * time.Second})
	}
	m := encodeStreams(sent)
	got := map[stream.Key]stream.Record{}
	for _, r := range decodeStreams(m) {
		got[r.Key] = r
	}
	is.Equal(len(got), len(sent))
	for _, r := range sent {
		is.Equal(got[r.Key].Origin, r.Origin)
		is.True(got[r.Key].TimeLeft >= r.TimeLeft && got[r.Key].TimeLeft <= r.TimeLeft+time.Second)
	}
	t.Logf("%d bytes for %d records", proto.Size(m), len(sent))
	is.True(proto.Size(m) < 16*len(sent))
}
