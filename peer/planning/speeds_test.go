package planning

import (
	"math"
	"strconv"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"galenastair"
	"galenastair/peer/planningpb"
	"galenastair/planner"
	"galenastair/speed"
)

func processKey(i int) speed.Key {
	return speed.KeyOf(galenastair.BackendServerID("engine-"+strconv.Itoa(i)), 1)
}

// Guards against observations and factors that arrive changed, and messages that outgrow 8 bytes for
// each server.
func TestSpeedsArriveAsSent(t *testing.T) {
	is := is.New(t)
	ratios := []speed.Ratio{0.25, 0.7, 1, 1.1, 1.7, 2.5, 4}
	r := planner.Report{LastSpeed: 1_700_000_000_000_000}
	u := speed.Update{Newest: 1_700_000_000_000_140}
	for i := range 140 {
		r.SpeedObservations = append(r.SpeedObservations, speed.Observation{Server: processKey(i), Ratio: ratios[i%len(ratios)]})
		u.Factors = append(u.Factors, speed.Factor{Server: processKey(i), Ratio: speed.FromSteps(ratios[i%len(ratios)].Steps())})
	}
	req, reply := &planningpb.ExchangeRequest{}, &planningpb.ExchangeReply{}
	empty := proto.Size(req)
	encodeSpeedReport(req, r)
	encodeSpeeds(reply, u)
	t.Logf("140 observations %d bytes, 140 factors %d bytes", proto.Size(req)-empty, proto.Size(reply))
	is.True(proto.Size(req) <= 8*140)
	is.True(proto.Size(reply) <= 8*140)
	is.Equal(speed.Sequence(req.SpeedSeen), r.LastSpeed)
	is.Equal(decodeSpeeds(reply), u)
	for i, o := range decodeSpeedObservations(req) {
		is.Equal(o.Server, r.SpeedObservations[i].Server)
		is.True(math.Abs(math.Log(float64(o.Ratio/r.SpeedObservations[i].Ratio))) < 0.011)
	}
	reply = &planningpb.ExchangeReply{}
	encodeSpeeds(reply, speed.Update{Newest: u.Newest})
	is.True(proto.Size(reply) <= 12) // an update without changes
}

// Guards against a message with lists of different lengths, which would end the leader.
func TestIncompleteSpeedsAreIgnored(t *testing.T) {
	is := is.New(t)
	is.Equal(len(decodeSpeedObservations(&planningpb.ExchangeRequest{SpeedKeys: []uint32{1, 2}, SpeedRatios: []int32{3}})), 1)
	is.Equal(len(decodeSpeeds(&planningpb.ExchangeReply{SpeedKeys: []uint32{1}, SpeedFactors: []int32{3, 4}}).Factors), 1)
}
