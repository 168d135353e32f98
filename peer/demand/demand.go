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

// PathPrefix is where the service is mounted on the peers' port.
const PathPrefix = demandpb.DemandPathPrefix

const (
	// leastPeriod is often enough to see a burst; it is also how often the leader forecasts.
	leastPeriod = 5 * time.Second
	// mostPeriod is still often for a demand that moves tenfold within an hour.
	mostPeriod = 30 * time.Second
	// perMember stretches the period, so that what the leader hears stays the same.
	perMember = 550 * time.Millisecond
	// askTimeout is well over a round trip between availability zones.
	askTimeout = time.Second
)

// Period returns how often each of a number of members tells the leader.
func Period(members int) time.Duration {
	return min(max(time.Duration(members)*perMember, leastPeriod), mostPeriod)
}

// Tell tells a leader's address what was asked of an instance since it started.
func Tell(ctx context.Context, c *http.Client, leader string, from galenastair.InstanceID, ds []dispatch.Demand) error {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
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

// decode leaves out hashes of no known model: an entry may know a newer contract.
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

// Hear takes what an entry told.
type Hear func(ctx context.Context, from galenastair.InstanceID, ds []dispatch.Demand) error

type server struct {
	models func() []galenastair.ModelName
	hear   Hear
}

// NewServer returns the handler of the leader's side; models lists the names that
// entries may tell of.
func NewServer(models func() []galenastair.ModelName, hear Hear) http.Handler {
	return demandpb.NewDemandServer(&server{models, hear})
}

// Tell takes in one entry's counts.
func (s *server) Tell(ctx context.Context, req *demandpb.TellRequest) (*demandpb.TellReply, error) {
	known := map[uint32]galenastair.ModelName{}
	for _, m := range s.models() {
		known[hash(m)] = m
	}
	err := s.hear(ctx, galenastair.InstanceID(req.Instance), decode(req, known))
	return &demandpb.TellReply{}, err
}
