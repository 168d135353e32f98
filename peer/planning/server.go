package planning

import (
	"context"
	"errors"
	"net/http"
	"time"

	"galenastair"
	"galenastair/account"
	"galenastair/lease"
	"galenastair/peer/planningpb"
	"galenastair/permit"
	"galenastair/planner"
	"galenastair/quota"
	"galenastair/ratelimit"
	"galenastair/speed"
	"galenastair/stream"
)

// Planner handles the calls of other instances.
type Planner interface {
	Exchange(ctx context.Context, r planner.Report) (planner.Update, error)
	EnsureLoaded(ctx context.Context, name galenastair.ModelName) (planner.Availability, error)
	Borrow(ctx context.Context, a quota.LoanRequest) (float64, error)
	// Charge takes and returns the latest known leader record beside the charge.
	Charge(o galenastair.Organisation, cost float64, known lease.Record) (account.ChargeResult, lease.Record)
	// Admit decides whether a request may be sent to a backend server with a rate limit.
	Admit(l ratelimit.Limit, maxWait time.Duration) (ratelimit.Decision, error)
	// AcquirePermit returns a permit to send a request to a brittle backend server, and false if this
	// instance does not issue the server's permits.
	AcquirePermit(ctx context.Context, r permit.Request) (permit.Decision, bool)
	// UpdatePermits records what an instance has in flight at brittle backend servers.
	UpdatePermits(instance string, usages []permit.Usage)
	// Fetch returns the records of a topic that this instance has read, from an offset on.
	Fetch(t galenastair.Topic, from galenastair.Offset) galenastair.KeyedBatch
	// RecordStreams keeps where streams began, and returns the incarnation of this instance.
	RecordStreams(records []stream.Record) stream.Incarnation
	// StreamOrigin returns what this instance knows of a stream.
	StreamOrigin(k stream.Key, s galenastair.ServiceName) stream.Answer
}

type server struct{ planner Planner }

// NewServer returns an HTTP handler that serves calls by p.
func NewServer(p Planner) http.Handler { return planningpb.NewPlanningServer(&server{p}) }

// Exchange implements planningpb.Planning.
func (s *server) Exchange(ctx context.Context, req *planningpb.ExchangeRequest) (*planningpb.ExchangeReply, error) {
	r := planner.Report{
		Instance:          galenastair.InstanceID(req.Instance),
		Address:           req.Address,
		Zone:              galenastair.AvailabilityZone(req.Zone),
		TableVersion:      req.TableVersion,
		Stopping:          req.Stopping,
		LastChange:        req.Seen,
		QuotaContribution: decodeContribution(req),
		Limits:            decodeLimits(req.Limits),
		Brittle:           decodeBrittle(req.Brittle),
		Loads:             decodeLoads(req.Loads),
		Positions:         make(map[galenastair.Topic]galenastair.Offset, len(req.Positions)),
		VersionDigest:     stream.VersionDigest(req.VersionsSeen),
		Demands:           make(map[galenastair.ModelName]time.Duration, len(req.Demands)),
	}
	for _, d := range req.Demands {
		r.Demands[galenastair.ModelName(d.Name)] = time.Duration(d.WorkUs) * time.Microsecond
	}
	for _, a := range req.Asks {
		r.LoanRequests = append(r.LoanRequests, quota.LoanRequest{Organisation: galenastair.Organisation(a.Organisation), Amount: a.Amount})
	}
	for _, id := range req.Absent {
		r.Down = append(r.Down, galenastair.BackendServerID(id))
	}
	for _, s := range req.PartitionedFrom {
		r.PartitionedFrom = append(r.PartitionedFrom, galenastair.ServiceName(s))
	}
	r.Crashes = decodeCrashes(req.Poisons, req.PoisonServers)
	r.PartEvents = decodePartEvents(time.Now(), req.PartEvents)
	r.SpeedObservations, r.LastSpeed = decodeSpeedObservations(req), speed.Sequence(req.SpeedSeen)
	for _, p := range req.Positions {
		r.Positions[galenastair.Topic(p.Topic)] = galenastair.Offset(p.From)
	}
	update, err := s.planner.Exchange(ctx, r)
	if errors.Is(err, planner.ErrNotLeader) {
		return &planningpb.ExchangeReply{}, nil
	}
	if err != nil {
		return nil, err
	}
	return encodeUpdate(update), nil
}

func encodeUpdate(n planner.Update) *planningpb.ExchangeReply {
	out := &planningpb.ExchangeReply{Holds: true, Lapsed: n.LeaseExpired, Newest: n.LastChange}
	encodeKeyedLoads(out, n.Loads)
	out.Limits, out.Index, out.ForwardTo = encodeLimits(n.Limits), uint32(n.Index), encodeForwardTargets(n.ForwardTo)
	out.Brittle = encodeBrittle(n.Brittle)
	out.StreamRecorders, out.OtherRecorders = n.StreamRecorders, n.OtherRecorders
	encodeSpeeds(out, n.Speeds)
	out.VersionsDigest, out.Versions = uint64(n.VersionDigest), encodeVersions(n.Versions)
	out.Renewal, out.RenewalAgeMs = int64(n.Renewal.Offset), uint32(n.Renewal.Age.Milliseconds())
	encodeAllocation(out, n.QuotaAllocation)
	encodeOwners(out, n)
	for _, l := range n.Loans {
		out.Loans = append(out.Loans, &planningpb.Loan{Organisation: string(l.Organisation), Amount: l.Amount})
	}
	out.Tails = encodeTails(n.Tails)
	out.Placed, out.Dropped = encodePlacements(n.Added), encodePlacements(n.Removed)
	out.Poisons, out.PoisonServers = encodeCrashes(n.Crashes)
	out.PartEvents = encodePartEvents(time.Now(), n.PartEvents)
	return out
}

func encodeTails(ts []planner.Tail) []*planningpb.Tail {
	var out []*planningpb.Tail
	for _, t := range ts {
		tail := &planningpb.Tail{
			Topic:     string(t.Topic),
			From:      int64(t.From()),
			Skipped:   int64(t.Skipped),
			End:       int64(t.End),
			AgeMs:     uint32(t.Age.Milliseconds()) + 1,
			FromAgeMs: uint32((t.FromAge + time.Millisecond - 1).Milliseconds()),
			Changed:   t.Changed,
			Changes:   encodeChanges(t.Changes),
			Peer:      t.Peer,
			Wait:      t.Wait,
		}
		tail.Records = encodeRecords(t.Records)
		out = append(out, tail)
	}
	return out
}

func encodePlacements(ps []planner.Placement) []*planningpb.Placement {
	var out []*planningpb.Placement
	for _, p := range ps {
		out = append(out, &planningpb.Placement{Server: string(p.Server), Name: string(p.Name)})
	}
	return out
}

// Need implements planningpb.Planning.
func (s *server) Need(ctx context.Context, req *planningpb.NeedRequest) (*planningpb.NeedReply, error) {
	p, err := s.planner.EnsureLoaded(ctx, galenastair.ModelName(req.Name))
	if errors.Is(err, planner.ErrNotLeader) {
		return &planningpb.NeedReply{}, nil
	}
	if err != nil {
		return nil, err
	}
	return &planningpb.NeedReply{Holds: true, Server: string(p.Server), ReadyMs: uint32(p.ReadyIn.Milliseconds())}, nil
}

// Borrow implements planningpb.Planning.
func (s *server) Borrow(ctx context.Context, req *planningpb.Loan) (*planningpb.BorrowReply, error) {
	n, err := s.planner.Borrow(ctx, quota.LoanRequest{Organisation: galenastair.Organisation(req.Organisation), Amount: req.Amount})
	if errors.Is(err, planner.ErrNotLeader) {
		return &planningpb.BorrowReply{}, nil
	}
	if err != nil {
		return nil, err
	}
	return &planningpb.BorrowReply{Holds: true, Amount: n}, nil
}
