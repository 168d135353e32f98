package node

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"galenastair"
	"galenastair/account"
	"galenastair/boottime"
	"galenastair/claim"
	"galenastair/httpclient"
	"galenastair/lease"
	"galenastair/peer/planning"
	"galenastair/planner"
	"galenastair/pool"
	"galenastair/quota"
	"galenastair/ratelimit"
	"galenastair/speed"
	"galenastair/timer"
)

const (
	// reportInterval is the interval of the reports to the leader. The loads that the reply
	// contains are useful for about a second.
	reportInterval = 300 * time.Millisecond
	// idleReportInterval is the interval for an instance without requests. The lender treats an
	// instance as lost after twice this time without a report.
	idleReportInterval = 600 * time.Millisecond
	// electorStartTimeout is longer than the elector's first calls to a healthy store take.
	electorStartTimeout = 700 * time.Millisecond
)

// leaderClient sends this instance's reports and requests to the leader and applies its replies.
type leaderClient struct {
	self          galenastair.InstanceID
	elector       *lease.Elector
	client        *planning.Client
	localPlanner  *planner.Planner
	partition     *partitionWatcher
	streams       *streamOrigins
	versions      *softwareVersions
	directory     *instanceDirectory
	pool          *pool.Pool
	borrower      *quota.Borrower
	accounts      *account.Accounts
	stopping      func() bool
	poisonTracker *claim.PoisonTracker
	partTracker   *claim.PartTracker
	crashTracker  *claim.CrashTracker
	logger        log.Logger
	address       string
	zone          galenastair.AvailabilityZone
	topics        func() []topicState

	limitFallback *ratelimit.FallbackLimiter
	failedCharges failedCharges
	// quotaKnown is finished once a leader has told how the quotas are shared.
	quotaKnown *startupWait
	// index is the position of this instance among all instances, from 0.
	index atomic.Int64

	mu         sync.Mutex
	demands    map[galenastair.ModelName]time.Duration
	crashes    []claim.Crash
	partEvents []claim.PartEvent
	leaderLost bool
	// loadsAt is when the loads of the other instances were last received.
	loadsAt atomic.Pointer[time.Time]

	// used by run alone: the numbers of the last placement change and speed factor received, their
	// sender, and what it was told
	lastChange       int64
	lastChangeLeader string
	lastSpeed        speed.Sequence
	delivered        deliveredCrashes
}

func (n *Node) newLeaderClient() *leaderClient {
	c := &leaderClient{
		self:          n.settings.ID,
		elector:       n.elector,
		client:        planning.NewClient(httpclient.NewPeerClient(httpclient.NewTransport())),
		localPlanner:  n.planner,
		partition:     n.partition,
		versions:      n.versions,
		directory:     n.directory,
		pool:          n.pool,
		borrower:      n.borrower,
		accounts:      n.accounts,
		limitFallback: ratelimit.NewFallbackLimiter(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		stopping:      n.stopping.Load,
		logger:        n.logger,
		address:       n.settings.PeerAddress,
		zone:          n.settings.AvailabilityZone,
		quotaKnown:    newStartupWait(quotaStartTimeout),
		demands:       map[galenastair.ModelName]time.Duration{},
		topics:        n.topics,
	}
	c.poisonTracker = claim.NewPoisonTracker(c.announceCrash, claim.WithCrashLimit(poisonThreshold), claim.WithCompletionWindow(completionWindow))
	c.partTracker = claim.NewPartTracker(c.announcePart)
	c.crashTracker = claim.NewCrashTracker(c.poisonTracker, c.partTracker, c.logCleared)
	return c
}

// RecordDemand adds the engine time of a request to the input of the planner's demand forecast.
func (c *leaderClient) RecordDemand(name galenastair.ModelName, work time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.demands[name] += work
}

// announceCrash adds a crash to the next report, from which all instances learn of it.
func (c *leaderClient) announceCrash(crash claim.Crash) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.crashes = append(c.crashes, crash)
}

// announcePart does the same with an event of a prompt part.
func (c *leaderClient) announcePart(e claim.PartEvent) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.partEvents = append(c.partEvents, e)
}

func (c *leaderClient) logCleared(r claim.Run) {
	c.logger.Log("event", "crashes cleared", "server", r.Server, "digest", r.Digest, "parts", fmt.Sprint(r.Parts))
}

// run exchanges reports with the leader until the context is done. It starts once the elector
// has read the previous leader's checkpoint, or after electorStartTimeout if the store does not
// answer.
func (c *leaderClient) run(ctx context.Context) error {
	select {
	case <-c.elector.Started():
	case <-time.After(electorStartTimeout):
	case <-ctx.Done():
	}
	for ctx.Err() == nil {
		busy := c.exchangeOnce(ctx)
		interval := idleReportInterval
		if busy {
			interval = reportInterval
		}
		timer.Wait(ctx, interval)
	}
	return ctx.Err()
}

// exchangeOnce sends one report and applies the reply. It returns whether the next report is due
// after reportInterval rather than idleReportInterval.
func (c *leaderClient) exchangeOnce(ctx context.Context) bool {
	c.crashTracker.Settle(time.Now())
	r := c.buildReport()
	sent := boottime.Now()
	busy := len(r.Loads)+len(r.Demands)+len(r.LoanRequests)+len(r.Crashes)+len(r.PartEvents) > 0
	leader, _ := c.leader()
	newCrashes, newPartEvents := r.Crashes, r.PartEvents
	c.addKnown(&r, leader)
	update, err := c.sendReport(ctx, r)
	if err != nil {
		c.handleFailure(err)
		c.requeue(newCrashes, newPartEvents)
		c.askPeer(ctx)
		return true
	}
	c.delivered.add(time.Now(), newCrashes, newPartEvents)
	c.lastChange, c.lastSpeed, c.lastChangeLeader = update.LastChange, update.Speeds.Newest, leader
	c.partition.setTargets(update.ForwardTo)
	if len(update.StreamRecorders) > 0 {
		c.streams.outbox.SetRecorders(time.Now(), update.StreamRecorders)
	}
	c.streams.otherRecorders.Store(&update.OtherRecorders)
	c.applyUpdate(update)
	c.applyOwners(update, sent)
	if !update.LeaseExpired {
		c.quotaKnown.finish()
		c.versions.apply(sent, update)
	}
	forwardTails(c.topics(), update.Tails, sent, func(peer string, t galenastair.Topic, from galenastair.Offset) (galenastair.KeyedBatch, error) {
		return c.client.Fetch(ctx, peer, t, from)
	})
	return busy
}

// addKnown adds to a report what its receiver has told this instance or, if that was another leader, what
// this one may not know.
func (c *leaderClient) addKnown(r *planner.Report, leader string) {
	if leader == c.lastChangeLeader {
		r.LastChange, r.LastSpeed = c.lastChange, c.lastSpeed
		return
	}
	now := time.Now()
	crashes, events := c.delivered.recent(now)
	r.Crashes = slices.Concat(c.poisonTracker.Refused(now), crashes, r.Crashes)
	r.PartEvents = slices.Concat(c.partTracker.Suspected(now), events, r.PartEvents)
}

func (c *leaderClient) buildReport() planner.Report {
	c.mu.Lock()
	r := planner.Report{Instance: c.self, Demands: c.demands, Crashes: c.crashes, PartEvents: c.partEvents}
	c.demands, c.crashes, c.partEvents = map[galenastair.ModelName]time.Duration{}, nil, nil
	c.mu.Unlock()
	r.Loads, r.Down = c.pool.Loads(), c.pool.Down(time.Now())
	r.Positions = readOffsets(c.topics())
	r.PartitionedFrom = c.partition.From()
	r.Zone, r.Limits = c.zone, c.pool.Limits(time.Now())
	r.Brittle = c.pool.BrittleServices(time.Now())
	r.Address, r.TableVersion, r.Stopping = c.address, c.accounts.Table().Version, c.stopping()
	r.VersionDigest = c.versions.view.Digest()
	now := time.Now()
	r.SpeedObservations = c.pool.TakeSpeedObservations()
	r.LoanRequests, r.QuotaContribution = c.borrower.LoanRequests(now), c.borrower.TakeContribution(now)
	return r
}

// maxQueuedEvents bounds the crashes, and the events of prompt parts, that wait for a leader.
const maxQueuedEvents = 4096

// requeue keeps the undelivered crashes for the next report. Undelivered demand is
// dropped: a planner that has just started would take the sum for the demand of one interval.
func (c *leaderClient) requeue(crashes []claim.Crash, events []claim.PartEvent) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.crashes = newest(append(crashes, c.crashes...))
	c.partEvents = newest(append(events, c.partEvents...))
}

func newest[E any](events []E) []E { return events[max(0, len(events)-maxQueuedEvents):] }

// leader returns the leader's address, and whether this instance is the leader.
func (c *leaderClient) leader() (string, bool) {
	leader := c.elector.Leader()
	return leader, leader == c.address
}

var errNoLeader = errors.New("no leader is known")

func (c *leaderClient) sendReport(ctx context.Context, r planner.Report) (planner.Update, error) {
	leader, isSelf := c.leader()
	switch {
	case isSelf:
		update, err := c.localPlanner.Exchange(ctx, r)
		c.directory.exchange(r, &update)
		c.versions.exchange(r, &update)
		return update, err
	case leader == "":
		return planner.Update{}, errNoLeader
	}
	return c.client.Exchange(ctx, leader, r)
}

// handleFailure switches to operation without the leader, and logs only the first failure.
func (c *leaderClient) handleFailure(err error) {
	if errors.Is(err, planner.ErrNotLeader) {
		c.elector.ReportNotLeader()
	} else {
		c.elector.ReportUnreachable()
	}
	c.borrower.ReportLenderUnavailable(time.Now())
	c.limitFallback.ReportUnreachable(time.Now())
	if !c.leaderLost {
		c.leaderLost = true
		c.logger.Log("event", "dependency lost", "peer", c.elector.Leader(), "err", err)
	}
}

// askPeer asks another instance who leads. An instance that the store turns away would not learn of
// a new leader otherwise, and without the leader's confirmations its configuration becomes too old to
// admit requests.
func (c *leaderClient) askPeer(ctx context.Context) {
	leader, _ := c.leader()
	peer := c.accounts.Table().RandomOwner(c.address, leader)
	if peer == "" {
		return
	}
	if record, err := c.client.LatestRecord(ctx, peer, c.elector.LatestRecord()); err == nil {
		c.elector.Observe(record)
	}
}

func (c *leaderClient) applyUpdate(u planner.Update) {
	now := time.Now()
	if u.LeaseExpired {
		c.elector.ReportNotLeader()
		c.limitFallback.ReportUnreachable(now)
	} else {
		c.elector.ReportAnswer(u.Renewal)
		c.limitFallback.ReportAnswer()
	}
	if c.leaderLost {
		c.leaderLost = false
		c.logger.Log("event", "dependency regained", "peer", c.elector.Leader())
	}
	c.borrower.SetAllocation(now, u.QuotaAllocation)
	for _, l := range u.Loans {
		c.borrower.AddLoan(now, l.Organisation, l.Amount)
	}
	c.index.Store(int64(u.Index))
	c.pool.SetPeerLimits(now, u.Limits)
	c.pool.SetPeerBrittle(now, u.Brittle)
	c.pool.SetPeerLoads(now, u.Loads)
	c.pool.SetSpeeds(now, u.Speeds)
	c.loadsAt.Store(&now)
	for _, p := range u.Removed {
		c.pool.RemoveModel(now, p.Server, p.Name)
	}
	for _, p := range u.Added {
		c.pool.AddModel(now, p.Server, p.Name)
	}
	for _, crash := range u.Crashes {
		c.poisonTracker.RecordRemoteCrash(now, crash)
		if !crash.IsClear() {
			c.crashTracker.ServerCrashed(now, crash.Server)
		}
		c.logger.Log("event", "remote crash", "digest", crash.Digest, "server", crash.Server, "cleared", crash.IsClear())
	}
	for _, e := range u.PartEvents {
		c.partTracker.Apply(now, e)
		if !e.IsClear() {
			c.crashTracker.ServerCrashed(e.At, e.Server)
		}
		c.logger.Log("event", "remote crash", "part", e.Part, "server", e.Server, "cleared", e.IsClear())
	}
}

// maxLoadsAge is the greatest age of loads by which requests are held back or refused. It is two
// intervals of an idle instance, after which the pool counts them little as well.
const maxLoadsAge = 2 * idleReportInterval

// loadsCurrent reports whether the loads of the other instances were received recently.
func (c *leaderClient) loadsCurrent() bool {
	at := c.loadsAt.Load()
	return at != nil && time.Since(*at) < maxLoadsAge
}

// applyOwners applies the table of organisation owners and this instance's grants. sent is the
// time before the call that returned them. Only a leader whose lease is valid can confirm grants.
func (c *leaderClient) applyOwners(u planner.Update, sent boottime.Time) {
	if u.LeaseExpired || u.TableVersion == 0 {
		return
	}
	if u.Table.Version == u.TableVersion {
		c.accounts.SetTable(u.Table)
	}
	if c.accounts.Table().Version == u.TableVersion {
		c.accounts.ConfirmGrants(sent, boottime.Now(), u.Grants)
	}
}

// EnsureLoaded asks the leader to load a model or adapter, or for a server that already has it.
func (c *leaderClient) EnsureLoaded(ctx context.Context, name galenastair.ModelName) (planner.Availability, error) {
	leader, isSelf := c.leader()
	switch {
	case isSelf:
		return c.localPlanner.EnsureLoaded(ctx, name)
	case leader == "":
		return planner.Availability{}, errNoLeader
	}
	return c.client.EnsureLoaded(ctx, leader, name)
}
