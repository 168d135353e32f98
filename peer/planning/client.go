package planning

import (
	"context"
	"net/http"
	"time"

	"galenastair"
	"galenastair/lease"
	"galenastair/peer/planningpb"
	"galenastair/planner"
	"galenastair/pool"
	"galenastair/quota"
	"galenastair/stream"
)

// PathPrefix is the path prefix of the service on the peers' port.
const PathPrefix = planningpb.PlanningPathPrefix

// callTimeout is well above a round trip between availability zones and the wait for the
// planner's loop. It also bounds the delay of a request that waits for the reply.
const callTimeout = 400 * time.Millisecond

// blockingCallTimeout bounds Borrow, Charge, Admit and, beyond the wait that it asks for, AcquirePermit, for
// which requests wait. They take a few milliseconds; if the called instance is down, all requests that
// arrive until the first call times out are delayed.
const blockingCallTimeout = 150 * time.Millisecond

// Client calls the leader and other instances.
type Client struct{ http *http.Client }

// NewClient returns a Client that uses an HTTP client with pooled connections.
func NewClient(c *http.Client) *Client { return &Client{c} }

func (c *Client) client(address string) planningpb.Planning {
	return planningpb.NewPlanningProtobufClient("http://"+address, c.http)
}

// Exchange sends a report and returns the leader's update.
func (c *Client) Exchange(ctx context.Context, address string, r planner.Report) (planner.Update, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := time.Now()
	reply, err := c.client(address).Exchange(ctx, encodeReport(r))
	if err != nil {
		return planner.Update{}, err
	}
	if !reply.Holds {
		return planner.Update{}, planner.ErrNotLeader
	}
	update := decodeUpdate(reply)
	deductTransit(update.Tails, time.Since(sent))
	return update, nil
}

// EnsureLoaded requests that a model or adapter be loaded on a backend server, and returns where
// and when it will be ready.
func (c *Client) EnsureLoaded(ctx context.Context, address string, name galenastair.ModelName) (planner.Availability, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := c.client(address).Need(ctx, &planningpb.NeedRequest{Name: string(name)})
	if err != nil {
		return planner.Availability{}, err
	}
	if !reply.Holds {
		return planner.Availability{}, planner.ErrNotLeader
	}
	return planner.Availability{
		Server:  galenastair.BackendServerID(reply.Server),
		ReadyIn: time.Duration(reply.ReadyMs) * time.Millisecond,
	}, nil
}

// Borrow requests a loan of the quota that one request lacks.
func (c *Client) Borrow(ctx context.Context, address string, a quota.LoanRequest) (float64, error) {
	ctx, cancel := context.WithTimeout(ctx, blockingCallTimeout)
	defer cancel()
	reply, err := c.client(address).Borrow(ctx, &planningpb.Loan{Organisation: string(a.Organisation), Amount: a.Amount})
	if err != nil {
		return 0, err
	}
	if !reply.Holds {
		return 0, planner.ErrNotLeader
	}
	return reply.Amount, nil
}

func encodeReport(r planner.Report) *planningpb.ExchangeRequest {
	out := &planningpb.ExchangeRequest{
		Instance:     string(r.Instance),
		Address:      r.Address,
		Zone:         string(r.Zone),
		TableVersion: r.TableVersion,
		Stopping:     r.Stopping,
		Seen:         r.LastChange,
		Loads:        encodeLoads(r.Loads),
		Limits:       encodeLimits(r.Limits),
		Brittle:      encodeBrittle(r.Brittle),
		VersionsSeen: uint64(r.VersionDigest),
	}
	for _, s := range r.PartitionedFrom {
		out.PartitionedFrom = append(out.PartitionedFrom, string(s))
	}
	encodeContribution(out, r.QuotaContribution)
	encodeSpeedReport(out, r)
	for _, id := range r.Down {
		out.Absent = append(out.Absent, string(id))
	}
	for name, work := range r.Demands {
		out.Demands = append(out.Demands, &planningpb.Demand{Name: string(name), WorkUs: uint32(work.Microseconds())})
	}
	for _, a := range r.LoanRequests {
		out.Asks = append(out.Asks, &planningpb.Loan{Organisation: string(a.Organisation), Amount: a.Amount})
	}
	out.Poisons, out.PoisonServers = encodeCrashes(r.Crashes)
	out.PartEvents = encodePartEvents(time.Now(), r.PartEvents)
	for topic, from := range r.Positions {
		out.Positions = append(out.Positions, &planningpb.Position{Topic: string(topic), From: int64(from)})
	}
	return out
}

func decodeTails(ts []*planningpb.Tail) []planner.Tail {
	var out []planner.Tail
	for _, t := range ts {
		tail := planner.Tail{Topic: galenastair.Topic(t.Topic)}
		tail.Age, tail.FromAge = time.Duration(t.AgeMs)*time.Millisecond, time.Duration(t.FromAgeMs)*time.Millisecond
		tail.Changes, tail.Changed = decodeChanges(t.Changes), t.Changed
		tail.Peer, tail.Wait = t.Peer, t.Wait
		tail.KeyedBatch = decodeRecords(t.From, t.Skipped, t.Records)
		tail.End = galenastair.Offset(t.End)
		out = append(out, tail)
	}
	return out
}

func encodeLoads(loads map[galenastair.BackendServerID]pool.Load) []*planningpb.Load {
	var out []*planningpb.Load
	for id, l := range loads {
		out = append(out, &planningpb.Load{Server: string(id), Flights: uint32(l.InFlight), Unread: uint32(l.PendingTokens)})
	}
	return out
}

func decodeLoads(loads []*planningpb.Load) map[galenastair.BackendServerID]pool.Load {
	out := make(map[galenastair.BackendServerID]pool.Load, len(loads))
	for _, l := range loads {
		out[galenastair.BackendServerID(l.Server)] = pool.Load{InFlight: float64(l.Flights), PendingTokens: float64(l.Unread)}
	}
	return out
}

func decodePlacements(ps []*planningpb.Placement) []planner.Placement {
	var out []planner.Placement
	for _, p := range ps {
		out = append(out, planner.Placement{Server: galenastair.BackendServerID(p.Server), Name: galenastair.ModelName(p.Name)})
	}
	return out
}

func decodeUpdate(r *planningpb.ExchangeReply) planner.Update {
	out := planner.Update{LeaseExpired: r.Lapsed, QuotaAllocation: decodeAllocation(r), Loads: decodeKeyedLoads(r), LastChange: r.Newest}
	out.Limits, out.Index, out.ForwardTo = decodeLimits(r.Limits), int(r.Index), decodeForwardTargets(r.ForwardTo)
	out.Brittle = decodeBrittle(r.Brittle)
	out.StreamRecorders, out.Speeds = r.StreamRecorders, decodeSpeeds(r)
	out.OtherRecorders = r.OtherRecorders
	out.VersionDigest, out.Versions = stream.VersionDigest(r.VersionsDigest), decodeVersions(r.Versions)
	for _, l := range r.Loans {
		out.Loans = append(out.Loans, quota.LoanRequest{Organisation: galenastair.Organisation(l.Organisation), Amount: l.Amount})
	}
	out.Renewal = lease.Renewal{Offset: galenastair.Offset(r.Renewal), Age: time.Duration(r.RenewalAgeMs) * time.Millisecond}
	out.Tails = decodeTails(r.Tails)
	decodeOwners(r, &out)
	out.Added, out.Removed = decodePlacements(r.Placed), decodePlacements(r.Dropped)
	out.Crashes = decodeCrashes(r.Poisons, r.PoisonServers)
	out.PartEvents = decodePartEvents(time.Now(), r.PartEvents)
	return out
}
