package node

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"galenastair"
	"galenastair/account"
	"galenastair/boottime"
	"galenastair/claim"
	"galenastair/lease"
	"galenastair/peer/planning"
	"galenastair/planner"
	"galenastair/pool"
	"galenastair/quota"
	"galenastair/ratelimit"
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
type exchange struct {
	self         galenastair.InstanceID
	elector      *lease.Elector
	client       *planning.Client
	localPlanner *planner.Planner
	pool         *pool.Pool
	borrower     *quota.Share
	accounts     *account.Accounts
	stopping     func() bool
	poisonTable  *claim.Poison
	logger       log.Logger
	address      string
	zone         galenastair.AvailabilityZone
	topics       func() []topicState

	limitFallback *ratelimit.Shares
	// index is the position of this instance among all instances, from 0.
	index atomic.Int64

	mu             sync.Mutex
	demands        map[galenastair.ModelName]time.Duration
	poisonRequests []claim.Digest
	leaderLost     bool

	// used by run alone: the number of the last placement change received, and its sender
	lastChange       int64
	lastChangeLeader string
}

// RecordDemand adds the engine time of a request to the input of the planner's demand forecast.
func (c *exchange) Asked(name galenastair.ModelName, work time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.demands[name] += work
}

// recordPoisonRequest adds a request that stopped a backend server to the next report, from which
// all instances learn of it.
func (c *exchange) recordPoisonRequest(d claim.Digest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.poisonRequests = append(c.poisonRequests, d)
}

// run exchanges reports with the leader until the context is done. It starts once the elector
// has read the previous leader's checkpoint, or after electorStartTimeout if the store does not
// answer.
func (c *exchange) run(ctx context.Context) error {
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
func (c *exchange) exchangeOnce(ctx context.Context) bool {
	r := c.buildReport()
	sent := boottime.Now()
	busy := len(r.Loads)+len(r.Demands)+len(r.Asks)+len(r.Poisons) > 0
	leader, _ := c.leader()
	if leader == c.lastChangeLeader {
		r.Seen = c.lastChange
	}
	update, err := c.sendReport(ctx, r)
	if err != nil {
		c.handleFailure(err)
		c.requeue(r)
		return true
	}
	c.lastChange, c.lastChangeLeader = update.Newest, leader
	c.applyUpdate(update)
	c.applyOwners(update, sent)
	forwardTails(c.topics(), update.Tails, sent, func(peer string, t galenastair.Topic, from galenastair.Offset) (galenastair.KeyedBatch, error) {
		return c.client.Fetch(ctx, peer, t, from)
	})
	return busy
}

func (c *exchange) buildReport() planner.Report {
	c.mu.Lock()
	r := planner.Report{Instance: c.self, Demands: c.demands, Poisons: c.poisonRequests}
	c.demands, c.poisonRequests = map[galenastair.ModelName]time.Duration{}, nil
	c.mu.Unlock()
	r.Loads, r.Absent = c.pool.Loads(), c.pool.Absent(time.Now())
	r.Positions = readOffsets(c.topics())
	r.Zone, r.Limits = c.zone, c.pool.Limits(time.Now())
	r.Address, r.TableVersion, r.Stopping = c.address, c.accounts.Table().Version, c.stopping()
	now := time.Now()
	r.Asks, r.Passed = c.borrower.Asks(now), c.borrower.Pass(now)
	return r
}

// requeue keeps the undelivered poison requests for the next report. Undelivered demand is
// dropped: a planner that has just started would take the sum for the demand of one interval.
func (c *exchange) requeue(r planner.Report) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.poisonRequests = append(c.poisonRequests, r.Poisons...)
}

// leader returns the leader's address, and whether this instance is the leader.
func (c *exchange) leader() (string, bool) {
	leader := c.elector.Leader()
	return leader, leader == c.address
}

var errNoLeader = errors.New("no leader is known")

func (c *exchange) sendReport(ctx context.Context, r planner.Report) (planner.News, error) {
	leader, isSelf := c.leader()
	switch {
	case isSelf:
		return c.localPlanner.Exchange(ctx, r)
	case leader == "":
		return planner.News{}, errNoLeader
	}
	return c.client.Exchange(ctx, leader, r)
}

// handleFailure switches to operation without the leader, and logs only the first failure.
func (c *exchange) handleFailure(err error) {
	if errors.Is(err, planner.ErrNotPlanner) {
		c.elector.Denied()
	} else {
		c.elector.Suspect()
	}
	c.borrower.MissLender(time.Now())
	c.limitFallback.Lost(time.Now())
	if !c.leaderLost {
		c.leaderLost = true
		c.logger.Log("event", "dependency lost", "peer", c.elector.Leader(), "err", err)
	}
}

func (c *exchange) applyUpdate(u planner.News) {
	now := time.Now()
	if u.Lapsed {
		c.elector.Denied()
		c.limitFallback.Lost(now)
	} else {
		c.elector.Answered(u.Renewal)
		c.limitFallback.Answered()
	}
	if c.leaderLost {
		c.leaderLost = false
		c.logger.Log("event", "dependency regained", "peer", c.elector.Leader())
	}
	c.borrower.SetStanding(now, u.Standing)
	for _, l := range u.Loans {
		c.borrower.Lent(now, l.Organisation, l.Amount)
	}
	c.index.Store(int64(u.Index))
	c.pool.SetOthersLimits(now, u.Limits)
	c.pool.SetOthers(now, u.Loads)
	for _, p := range u.Dropped {
		c.pool.RemoveModel(now, p.Server, p.Name)
	}
	for _, p := range u.Placed {
		c.pool.AddModel(now, p.Server, p.Name)
	}
	for _, d := range u.Poisons {
		c.poisonTable.Heard(now, d)
	}
}

// applyOwners applies the table of organisation owners and this instance's grants. sent is the
// time before the call that returned them. Only a leader whose lease is valid can confirm grants.
func (c *exchange) applyOwners(u planner.News, sent boottime.Time) {
	if u.Lapsed || u.TableVersion == 0 {
		return
	}
	if u.Table.Version == u.TableVersion {
		c.accounts.SetTable(u.Table)
	}
	if c.accounts.Table().Version == u.TableVersion {
		c.accounts.Confirm(sent, boottime.Now(), u.Grants)
	}
}

// EnsureLoaded asks the leader to load a model or adapter, or for a server that already has it.
func (c *exchange) Need(ctx context.Context, name galenastair.ModelName) (planner.Promise, error) {
	leader, isSelf := c.leader()
	switch {
	case isSelf:
		return c.localPlanner.Need(ctx, name)
	case leader == "":
		return planner.Promise{}, errNoLeader
	}
	return c.client.Need(ctx, leader, name)
}
