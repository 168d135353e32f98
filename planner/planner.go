package planner

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/rotisserie/eris"

	"galenastair"
	"galenastair/account"
	"galenastair/boottime"
	"galenastair/catalog"
	"galenastair/claim"
	"galenastair/control"
	"galenastair/place"
	"galenastair/pool"
	"galenastair/quota"
	"galenastair/ratelimit"
	"galenastair/speed"
)

// ErrNotLeader is returned by an instance that does not hold the lease.
var ErrNotLeader = eris.New("this instance does not hold the planner lease")

const (
	// planInterval is the time between planning rounds. A model load takes several of them.
	planInterval = 200 * time.Millisecond
	// forecastInterval is the time between forecast updates. Instances with demand report at least
	// as often.
	forecastInterval = 500 * time.Millisecond
	// reportTTL is how long the load that an instance reported counts without a new report.
	reportTTL = 1500 * time.Millisecond
	// changeTTL is how long a placement change is included in exchanges. It spans several
	// exchanges, so that a lost one does not lose the change.
	changeTTL = 2 * time.Second
	// busyRetryDelay is the wait before the next call to an engine that was executing another
	// order.
	busyRetryDelay = 120 * time.Millisecond
	// unansweredRetryDelay is the wait before the state of an engine is queried after an order got
	// no answer. Engine state lags by some hundred milliseconds.
	unansweredRetryDelay = 400 * time.Millisecond
	// termWarmUp is how long a new leader collects reports before it plans. With the demand of
	// only some instances, it would take busy models for idle ones.
	termWarmUp = 900 * time.Millisecond
)

// Lease reports whether this instance may act as the leader.
type Lease interface {
	// OrderFence returns the fencing token for an order sent now, or false if none may be sent.
	OrderFence() (galenastair.Fence, bool)
	// Holds reports whether this instance holds the lease.
	Holds() bool
	// ServesPeers reports whether this instance answers exchanges and lends quota. It does so for
	// some time after its lease has expired.
	ServesPeers() bool
	// FenceRejected records that an engine has seen a higher fencing token than this one.
	FenceRejected(galenastair.Fence)
}

// Planner plans placements and sends orders while this instance holds the lease.
type Planner struct {
	self     string
	control  galenastair.EngineControl
	lease    Lease
	loop     *control.Loop
	clock    galenastair.Clock
	logger   log.Logger
	inFlight sync.WaitGroup
	limiter  *ratelimit.Limiter
	onOrder  func(kind galenastair.OrderKind, reason place.Reason, outcome string)
	refused  func(time.Time) []claim.Crash
	// suspected returns the crashes under the prompt parts that this instance refuses.
	suspected func(time.Time) []claim.PartEvent
	// knownSpeeds returns the speed factors that this instance has received; nil if speeds are not
	// estimated.
	knownSpeeds func() []speed.Factor

	// the fields below are accessed only in the control loop
	ctx      context.Context
	services map[galenastair.ServiceName]*service
	servers  map[galenastair.BackendServerID]pool.Server
	// downAt holds the servers that instances report as down, with the time of the last such report.
	downAt map[galenastair.BackendServerID]time.Time
	// evacuated holds the availability zones whose engines get no requests.
	evacuated []galenastair.AvailabilityZone
	lender    *quota.Lender
	reports   map[galenastair.InstanceID]instanceReport
	// loads is the sum over all reports.
	loads  loads
	limits map[galenastair.BackendServerID]advertisedLimit
	// brittle holds when servers of a service last said that they are brittle.
	brittle map[galenastair.ServiceName]time.Time
	changes []placementChange
	// lastChange is the sequence number of the newest entry in changes and crashes. It is
	// not reset between terms.
	lastChange int64
	crashes    []crashReport
	partEvents []partReport
	// expiredCrash and expiredPart are the sequence numbers of the newest crash and event of a part
	// that are announced no more.
	expiredCrash int64
	expiredPart  int64
	// storedRefused are the refused requests in the checkpoint, and storedRefusedAt is when they
	// last changed.
	storedRefused   []claim.Crash
	storedRefusedAt time.Time
	leading         bool
	// inherited is the checkpoint that the previous leader stored.
	inherited Checkpoint
	// hasOwners reports that the quotas of organisations are assigned to owner instances.
	// ownersDecided reports that this question is settled for the term.
	hasOwners     bool
	ownersDecided bool
	assigner      *account.Assigner
	bootClock     boottime.Clock
	termStart     time.Time
	lastForecast  time.Time
	speeds        *speed.Aggregator
}

type instanceReport struct {
	loads map[galenastair.BackendServerID]pool.Load
	at    time.Time
}

// Option configures a Planner.
type Option func(*Planner)

// WithLogger sets the logger for orders and their outcomes.
func WithLogger(l log.Logger) Option { return func(p *Planner) { p.logger = l } }

// WithClock replaces the system clock.
func WithClock(c galenastair.Clock) Option { return func(p *Planner) { p.clock = c } }

// WithOrderObserver sets a function that is called with the outcome of each order.
func WithOrderObserver(f func(galenastair.OrderKind, place.Reason, string)) Option {
	return func(p *Planner) { p.onOrder = f }
}

// WithRefusedRequests sets a function that returns the crashes of the requests that this instance
// refuses. An instance that has missed announcements of crashes gets them.
func WithRefusedRequests(f func(time.Time) []claim.Crash) Option {
	return func(p *Planner) { p.refused = f }
}

// WithSuspectedParts does the same for the crashes under prompt parts.
func WithSuspectedParts(f func(time.Time) []claim.PartEvent) Option {
	return func(p *Planner) { p.suspected = f }
}

// New returns a planner that is idle until Run is called and the lease is held. self identifies it
// as the sender of orders.
func New(self string, t quota.Tolerance, c galenastair.EngineControl, l Lease, loop *control.Loop, opts ...Option) *Planner {
	p := &Planner{
		self:      self,
		control:   c,
		lease:     l,
		loop:      loop,
		clock:     galenastair.SystemClock{},
		logger:    log.NewNopLogger(),
		onOrder:   func(galenastair.OrderKind, place.Reason, string) {},
		refused:   func(time.Time) []claim.Crash { return nil },
		suspected: func(time.Time) []claim.PartEvent { return nil },
		ctx:       context.Background(),
		services:  map[galenastair.ServiceName]*service{},
		servers:   map[galenastair.BackendServerID]pool.Server{},
		downAt:    map[galenastair.BackendServerID]time.Time{},
		lender:    quota.NewLender(t),
		loads:     loads{},
		limits:    map[galenastair.BackendServerID]advertisedLimit{},
		brittle:   map[galenastair.ServiceName]time.Time{},
		limiter:   ratelimit.NewLimiter(),
		assigner:  account.NewAssigner(),
		bootClock: boottime.Now,
		reports:   map[galenastair.InstanceID]instanceReport{},
		// 0 in a report means that the instance has received nothing from this planner
		lastChange: 1, expiredCrash: 1,
	}
	for _, o := range opts {
		o(p)
	}
	p.speeds = speed.NewAggregator(p.clock.Now())
	return p
}

// Run plans until the context ends. It returns once no order is in flight.
func (p *Planner) Run(ctx context.Context) error {
	defer p.inFlight.Wait()
	if err := p.loop.Post(ctx, func() { p.ctx = ctx }); err != nil {
		return err
	}
	err := p.loop.Every(ctx, planInterval, p.tick)
	// wait for rounds that are already posted, so that none sends an order after inFlight.Wait has
	// begun
	_ = p.loop.Do(context.WithoutCancel(ctx), func() {})
	return err
}

// SetCatalog applies a version of the configuration.
func (p *Planner) SetCatalog(ctx context.Context, c *catalog.Catalog) error {
	return p.loop.Post(ctx, func() {
		p.lender.SetContracts(c)
		c.ForEachService(func(s *catalog.Service) {
			if s.Engine == nil {
				return
			}
			if old := p.services[s.Name]; old != nil {
				old.modelSet = newModelSet(s)
				return
			}
			p.services[s.Name] = newService(s)
			p.services[s.Name].leading = p.leading
			for _, srv := range p.servers {
				p.setServer(srv)
			}
		})
	})
}

// tick starts or ends a term, plans, and sends the orders that are due.
func (p *Planner) tick() {
	now := p.clock.Now()
	holds := p.lease.Holds()
	if holds != p.leading {
		p.leading, p.termStart = holds, now
		p.changeTerm(now, holds)
	}
	if !holds {
		return
	}
	p.stepForecasts(now)
	p.stepSpeeds(now)
	p.expireDown(now)
	_, orders := p.lease.OrderFence()
	p.expireReports(now)
	for _, s := range p.services {
		s.loads, s.limits, s.speeds = p.loads, p.limits, p.speeds
		if orders && now.Sub(p.termStart) >= termWarmUp {
			s.planRound(now)
		}
		p.sendOrders(now, s)
	}
	p.publishUnloads(now)
}

func (p *Planner) changeTerm(now time.Time, holds bool) {
	p.logger.Log("event", "term", "holds", holds)
	if holds {
		p.lender.Reset(now, p.inherited.Checkpoint)
		p.limiter.Reset()
		p.resetOwners()
		p.restartSpeeds(now)
		clear(p.reports)
		clear(p.loads)
	}
	for _, s := range p.services {
		s.leading = holds
		for _, e := range s.engines {
			e.endTerm()
			if holds {
				e.beginTerm()
			}
		}
	}
}

func (p *Planner) stepForecasts(now time.Time) {
	if now.Sub(p.lastForecast) < forecastInterval {
		return
	}
	p.lastForecast = now
	for _, s := range p.services {
		s.forecast.EndPeriod(now)
	}
}

// expireReports removes the reports of instances that have stopped reporting.
func (p *Planner) expireReports(now time.Time) {
	for id, r := range p.reports {
		if now.Sub(r.at) > reportTTL {
			p.loads.subtract(r.loads)
			delete(p.reports, id)
		}
	}
}

// Exchange records the report of one instance and returns what the other instances reported.
func (p *Planner) Exchange(ctx context.Context, r Report) (Update, error) {
	var update Update
	err := ErrNotLeader
	doErr := p.loop.Do(ctx, func() {
		if p.lease.ServesPeers() {
			update, err = p.handleReport(r), nil
		}
	})
	if doErr != nil {
		return Update{}, doErr
	}
	return update, err
}

func (p *Planner) handleReport(r Report) Update {
	now := p.clock.Now()
	p.loads.subtract(p.reports[r.Instance].loads)
	p.reports[r.Instance] = instanceReport{r.Loads, now}
	p.markDown(now, r.Down)
	p.observeLimits(now, r.Limits)
	p.observeBrittle(now, r.Brittle)
	for name, work := range r.Demands {
		for _, s := range p.services {
			s.recordDemand(now, name, work)
		}
	}
	p.addCrashes(now, r)
	p.addPartEvents(now, r)
	p.decideOwners(now)
	speeds := p.exchangeSpeeds(now, r)
	update := Update{LeaseExpired: !p.lease.Holds(), QuotaAllocation: p.lender.Contribute(now, r.Instance, r.QuotaContribution), Loads: p.loads.byKey()}
	p.loads.add(r.Loads)
	update.Speeds = speeds
	update.Limits, update.Index = p.currentLimits(now), p.fleetIndex(r.Instance)
	update.Brittle = p.currentBrittle(now)
	p.addOwners(r, &update)
	for _, a := range r.LoanRequests {
		if p.hasOwners {
			break
		}
		if n := p.lender.Lend(now, a); n > 0 {
			update.Loans = append(update.Loans, quota.LoanRequest{Organisation: a.Organisation, Amount: n})
		}
	}
	p.expireChanges(now)
	update.LastChange = p.lastChange
	if r.LastChange > p.lastChange {
		// the number is from a previous process at this address
		r.LastChange = 0
	}
	for _, c := range p.changes {
		if c.sequence <= r.LastChange {
			continue
		}
		if c.removed {
			update.Removed = append(update.Removed, c.Placement)
		} else {
			update.Added = append(update.Added, c.Placement)
		}
	}
	update.Crashes, update.PartEvents = p.crashesSince(now, r), p.partEventsSince(now, r)
	return update
}

// Borrow lends the quota that a single request lacks.
func (p *Planner) Borrow(ctx context.Context, r quota.LoanRequest) (float64, error) {
	var n float64
	err := ErrNotLeader
	doErr := p.loop.Do(ctx, func() {
		if p.lease.ServesPeers() && !p.hasOwners {
			n, err = p.lender.LendExact(p.clock.Now(), r), nil
		}
	})
	if doErr != nil {
		return 0, doErr
	}
	return n, err
}
