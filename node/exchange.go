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
	// exchangePeriod is how often an instance tells the planner what it sees. Loads of
	// others are worth something for about a second.
	exchangePeriod = 300 * time.Millisecond
	// idlePeriod is the same for an instance without requests; the lender misses one
	// that it hears nothing of for twice as long.
	idlePeriod = 600 * time.Millisecond
	// startWait is for the first calls of the elector to a sound store, and then some.
	startWait = 700 * time.Millisecond
)

// exchange keeps this instance and the one that plans in touch.
type exchange struct {
	self     galenastair.InstanceID
	elector  *lease.Elector
	client   *planning.Client
	local    *planner.Planner
	pool     *pool.Pool
	share    *quota.Share
	accounts *account.Accounts
	stopping func() bool
	poison   *claim.Poison
	logger   log.Logger
	address  string
	zone     galenastair.AvailabilityZone
	topics   func() []followed

	shares *ratelimit.Shares
	// index is this instance's place in the fleet.
	index atomic.Int64

	mu      sync.Mutex
	demands map[galenastair.ModelName]time.Duration
	poisons []claim.Digest
	lost    bool

	// owned by run: seen is the newest change of placement that seenOf has told
	seen   int64
	seenOf string
}

// Asked notes the engine time of a request for the planner's forecast.
func (x *exchange) Asked(name galenastair.ModelName, work time.Duration) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.demands[name] += work
}

// poisoned notes a request that stopped a backend server, for all to know.
func (x *exchange) poisoned(d claim.Digest) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.poisons = append(x.poisons, d)
}

// run exchanges until the context ends. It begins when this instance has read what a leader
// before has left, or the store does not answer.
func (x *exchange) run(ctx context.Context) error {
	select {
	case <-x.elector.Started():
	case <-time.After(startWait):
	case <-ctx.Done():
	}
	for ctx.Err() == nil {
		busy := x.round(ctx)
		wait := idlePeriod
		if busy {
			wait = exchangePeriod
		}
		timer.Wait(ctx, wait)
	}
	return ctx.Err()
}

// round makes one exchange and says whether the next is due soon.
func (x *exchange) round(ctx context.Context) bool {
	r := x.report()
	sent := boottime.Now()
	busy := len(r.Loads)+len(r.Demands)+len(r.Asks)+len(r.Poisons) > 0
	leader, _ := x.at()
	if leader == x.seenOf {
		r.Seen = x.seen
	}
	news, err := x.call(ctx, r)
	if err != nil {
		x.failed(err)
		x.giveBack(r)
		return true
	}
	x.seen, x.seenOf = news.Newest, leader
	x.take(news)
	x.takeOwners(news, sent)
	hint(x.topics(), news.Tails, sent, func(peer string, t galenastair.Topic, from galenastair.Offset) (galenastair.KeyedBatch, error) {
		return x.client.Fetch(ctx, peer, t, from)
	})
	return busy
}

func (x *exchange) report() planner.Report {
	x.mu.Lock()
	r := planner.Report{Instance: x.self, Demands: x.demands, Poisons: x.poisons}
	x.demands, x.poisons = map[galenastair.ModelName]time.Duration{}, nil
	x.mu.Unlock()
	r.Loads, r.Absent = x.pool.Loads(), x.pool.Absent(time.Now())
	r.Positions = positions(x.topics())
	r.Zone, r.Limits = x.zone, x.pool.Limits(time.Now())
	r.Address, r.TableVersion, r.Stopping = x.address, x.accounts.Table().Version, x.stopping()
	now := time.Now()
	r.Asks, r.Passed = x.share.Asks(now), x.share.Pass(now)
	return r
}

// giveBack keeps what was not heard for the next exchange; old demand is dropped, as a
// planner that has just begun would take it for that of one moment.
func (x *exchange) giveBack(r planner.Report) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.poisons = append(x.poisons, r.Poisons...)
}

// at returns the leader's address; the second result says that it is this instance.
func (x *exchange) at() (string, bool) {
	leader := x.elector.Leader()
	return leader, leader == x.address
}

// errNoLeader says that nobody is known to lead.
var errNoLeader = errors.New("no instance is known to lead")

func (x *exchange) call(ctx context.Context, r planner.Report) (planner.News, error) {
	leader, own := x.at()
	switch {
	case own:
		return x.local.Exchange(ctx, r)
	case leader == "":
		return planner.News{}, errNoLeader
	}
	return x.client.Exchange(ctx, leader, r)
}

// failed goes on without the leader and logs the loss once.
func (x *exchange) failed(err error) {
	if errors.Is(err, planner.ErrNotPlanner) {
		x.elector.Denied()
	} else {
		x.elector.Suspect()
	}
	x.share.MissLender(time.Now())
	x.shares.Lost(time.Now())
	if !x.lost {
		x.lost = true
		x.logger.Log("event", "dependency lost", "peer", x.elector.Leader(), "err", err)
	}
}

func (x *exchange) take(n planner.News) {
	now := time.Now()
	if n.Lapsed {
		x.elector.Denied()
		x.shares.Lost(now)
	} else {
		x.elector.Answered(n.Renewal)
		x.shares.Answered()
	}
	if x.lost {
		x.lost = false
		x.logger.Log("event", "dependency regained", "peer", x.elector.Leader())
	}
	x.share.SetStanding(now, n.Standing)
	for _, l := range n.Loans {
		x.share.Lent(now, l.Organisation, l.Amount)
	}
	x.index.Store(int64(n.Index))
	x.pool.SetOthersLimits(now, n.Limits)
	x.pool.SetOthers(now, n.Loads)
	for _, p := range n.Dropped {
		x.pool.RemoveModel(now, p.Server, p.Name)
	}
	for _, p := range n.Placed {
		x.pool.AddModel(now, p.Server, p.Name)
	}
	for _, d := range n.Poisons {
		x.poison.Heard(now, d)
	}
}

// takeOwners takes in who owns what; sent is from before the call that brought it. Only a
// leader whose lease has not expired confirms it.
func (x *exchange) takeOwners(n planner.News, sent boottime.Time) {
	if n.Lapsed || n.TableVersion == 0 {
		return
	}
	if n.Table.Version == n.TableVersion {
		x.accounts.SetTable(n.Table)
	}
	if x.accounts.Table().Version == n.TableVersion {
		x.accounts.Confirm(sent, boottime.Now(), n.Grants)
	}
}

// Need asks the planner for a place for a model or adapter.
func (x *exchange) Need(ctx context.Context, name galenastair.ModelName) (planner.Promise, error) {
	leader, own := x.at()
	switch {
	case own:
		return x.local.Need(ctx, name)
	case leader == "":
		return planner.Promise{}, errNoLeader
	}
	return x.client.Need(ctx, leader, name)
}
