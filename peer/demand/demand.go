package demand

import (
	"context"
	"math"
	"net/http"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"galenastair"
	"galenastair/dispatch"
	"galenastair/peer/demandpb"
)

// PathPrefix is the path prefix of the service on the peers' port.
const PathPrefix = demandpb.DemandPathPrefix

const (
	// minPeriod is short enough to detect a burst; the leader also forecasts this often.
	minPeriod = 5 * time.Second
	// maxPeriod is short enough for demand that changes tenfold within an hour.
	maxPeriod = 30 * time.Second
	// periodPerMember increases the period with the number of members, so that the
	// leader's incoming traffic stays the same.
	periodPerMember = 550 * time.Millisecond
	// sendTimeout is well above a round trip between availability zones.
	sendTimeout = time.Second
)

// Period returns the time between the reports of one member.
func Period(members int) time.Duration {
	return min(max(time.Duration(members)*periodPerMember, minPeriod), maxPeriod)
}

// Send reports an instance's demand since it started to the leader at an address.
func Send(ctx context.Context, c *http.Client, leader string, from galenastair.InstanceID, ds []dispatch.Demand) error {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	_, err := demandpb.NewDemandProtobufClient("http://"+leader, c).Tell(ctx, encode(from, ds))
	return err
}

func hash(m galenastair.ModelName) uint32 { return uint32(xxhash.Sum64String(string(m))) }

func encode(from galenastair.InstanceID, ds []dispatch.Demand) *demandpb.TellRequest {
	ds = slices.Clone(ds)
	slices.SortFunc(ds, func(a, b dispatch.Demand) int { return int(int64(hash(a.Model)) - int64(hash(b.Model))) })
	req := &demandpb.TellRequest{Instance: string(from)}
	var last uint32
	for _, d := range ds {
		h := hash(d.Model)
		req.ModelDeltas = append(req.ModelDeltas, h-last)
		req.Work = append(req.Work, uint64(math.Round(d.Work)))
		last = h
	}
	return req
}

// decode ignores hashes of unknown models: an entry may already have a newer contract.
func decode(req *demandpb.TellRequest, known map[uint32]galenastair.ModelName) []dispatch.Demand {
	var ds []dispatch.Demand
	var h uint32
	for i, delta := range req.ModelDeltas[:min(len(req.ModelDeltas), len(req.Work))] {
		h += delta
		if name, ok := known[h]; ok {
			ds = append(ds, dispatch.Demand{Model: name, Work: float64(req.Work[i])})
		}
	}
	return ds
}

// ReceiveFunc processes the report of an entry.
type ReceiveFunc func(ctx context.Context, from galenastair.InstanceID, ds []dispatch.Demand) error

type server struct {
	models  func() []galenastair.ModelName
	receive ReceiveFunc
}

// NewServer returns the leader's HTTP handler. models returns the names that reports may
// contain, which are sent as hashes.
func NewServer(models func() []galenastair.ModelName, receive ReceiveFunc) http.Handler {
	return demandpb.NewDemandServer(&server{models, receive})
}

// Tell implements demandpb.Demand.
func (s *server) Tell(ctx context.Context, req *demandpb.TellRequest) (*demandpb.TellReply, error) {
	known := map[uint32]galenastair.ModelName{}
	for _, m := range s.models() {
		known[hash(m)] = m
	}
	err := s.receive(ctx, galenastair.InstanceID(req.Instance), decode(req, known))
	return &demandpb.TellReply{}, err
}
