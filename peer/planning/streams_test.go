package planning

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"galenastair"
	"galenastair/claim"
	"galenastair/peer/planningpb"
	"galenastair/planner"
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

// Guards against events of prompt parts that lose their server, their age or that they clear a part.
func TestPartEventsArriveAsSent(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	sent := []claim.PartEvent{
		{Part: 1 << 63, Server: "i-583a046e81@1783084667189", At: now.Add(-1500 * time.Millisecond)},
		{Part: 2, At: now},
	}
	m := encodePartEvents(now, sent)
	t.Logf("%d and %d bytes", proto.Size(m[0]), proto.Size(m[1]))
	is.Equal(decodePartEvents(now, m), sent)
	later := decodePartEvents(now.Add(time.Second), m)
	is.Equal(later[0].At, now.Add(-500*time.Millisecond))
}

// Guards against records that come back from the store changed, or that outgrow 10 bytes.
func TestStreamsAreReadAsStored(t *testing.T) {
	const records = 4096
	is := is.New(t)
	var sent []stream.Record
	for i := range records {
		sent = append(sent, stream.Record{Key: stream.Key(i) * 0x9e3779b97f4a7c1, Origin: stream.Origin{Service: "writer", Version: "v1"}, TimeLeft: 20 * time.Second})
	}
	data, err := MarshalStreams(sent)
	is.NoErr(err)
	t.Logf("%.1f bytes a record", float64(len(data))/records)
	is.True(len(data) < 10*records)
	got, err := UnmarshalStreams(data)
	is.NoErr(err)
	is.Equal(len(got), records)
	is.Equal(got[1].Key, sent[1].Key)
	is.Equal(got[1].Origin, sent[1].Origin)
	_, err = UnmarshalStreams([]byte{255})
	is.True(err != nil)
}

// Guards against recorders of other regions that are lost on the way, or that grow a leader's replies much.
func TestOtherRecordersArriveAsSent(t *testing.T) {
	is := is.New(t)
	empty := proto.Size(encodeUpdate(planner.Update{}))
	for _, regions := range []int{1, 2, 7} {
		var sent []string
		for i := range 2 * (regions - 1) {
			sent = append(sent, fmt.Sprintf("10.100.200.%d:10000", 100+i))
		}
		reply := encodeUpdate(planner.Update{OtherRecorders: sent})
		is.Equal(decodeUpdate(reply).OtherRecorders, sent)
		t.Logf("%d regions: %d bytes a reply, %d a question", regions, proto.Size(reply)-empty,
			proto.Size(&planningpb.StreamQuery{Key: 1<<64 - 1, Service: "text-writer"})+proto.Size(&planningpb.StreamAnswer{Service: "text-writer", Version: "v1.1", Versions: []string{"v1", "v1.1"}, Fresh: true, Loaded: true}))
		is.True(proto.Size(reply)-empty <= 24*len(sent))
	}
}
