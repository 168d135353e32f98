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
)

// ErrNotPlanner says that this instance does not hold the lease.
var ErrNotPlanner = eris.New("this instance does not plan")

const (
	// tickPeriod is how often the planner looks: a few times in the time of a load.
	tickPeriod = 200 * time.Millisecond
	// forecastPeriod is how often demand becomes a rate; a report comes at least as often.
	forecastPeriod = 500 * time.Millisecond
	// reportLife is how long an instance's loads count after its last report.
	reportLife = 1500 * time.Millisecond
	// newsLife is how long a change is told to all; a few exchanges long.
	newsLife = 2 * time.Second
	// busyRest is when an engine is asked again that was busy with another order.
	busyRest = 120 * time.Millisecond
	// lostRest is when an engine is asked for its state after an order without an
	// answer: its report is some hundred milliseconds old.
	lostRest = 400 * time.Millisecond
	// firstRound is how long a new term listens before it plans: without the demand
	// of all instances it would take busy models for idle ones.
	firstRound = 900 * time.Millisecond
)

// Lease tells whether this instance may act for all.
type Lease interface {
	// Order returns the fence for an order sent now; false if none may be sent.
	Order() (galenastair.Fence, bool)
	// Holds says whether this instance has the lease.
	Holds() bool
	// Hosts says whether it hears the others and lends, as it may for some time after.
	Hosts() bool
	// Refused says that an engine has seen a higher fence than this.
	Refused(galenastair.Fence)
}

// Planner plans and gives orders while the lease is this instance's.
type Planner struct {
	self    string
	control galenastair.EngineControl
	lease   Lease
	loop    *control.Loop
	clock   galenastair.Clock
	logger  log.Logger
	tasks   sync.WaitGroup
	limiter *ratelimit.Limiter
	ordered func(kind galenastair.OrderKind, reason place.Reason, outcome string)

	// the rest is owned by the control loop
	ctx     context.Context
	sites   map[galenastair.ServiceName]*site
	servers map[galenastair.BackendServerID]pool.Server
	// absent are servers at whose addresses nothing listens, by when that was said last.
	absent  map[galenastair.BackendServerID]time.Time
	lender  *quota.Lender
	reports map[galenastair.InstanceID]report
	// loads is the sum of all reports.
	loads  loads
	limits map[galenastair.BackendServerID]namedLimit
	news   []newsAt
	// newest numbers the changes in the news, over all terms of this process.
	newest  int64
	poisons []poisonAt
	held    bool
	// note is what the leader before left.
	note Note
	// owned says that organisations have owners, whom the assigner deals them to, and decided
	// that it is settled whether they have.
	owned    bool
	decided  bool
	assigner *account.Assigner
	boot     boottime.Clock
	since    time.Time
	foretold time.Time
}

type report struct {
	loads map[galenastair.BackendServerID]pool.Load
	at    time.Time
}

type poisonAt struct {
	digest claim.Digest
	from   galenastair.InstanceID
	at     time.Time
}

// Option varies a Planner.
type Option func(*Planner)

// WithLogger sets where orders and their ends are logged.
func WithLogger(l log.Logger) Option { return func(p *Planner) { p.logger = l } }

// WithClock replaces the clock of the machine.
func WithClock(c galenastair.Clock) Option { return func(p *Planner) { p.clock = c } }

// WithOrdered sets what is told of each order's outcome.
func WithOrdered(f func(galenastair.OrderKind, place.Reason, string)) Option {
	return func(p *Planner) { p.ordered = f }
}

// New returns a planner that does nothing until Run and while the lease is another's;
// self names it in orders.
func New(self string, t quota.Terms, c galenastair.EngineControl, d Lease, loop *control.Loop, opts ...Option) *Planner {
	p := &Planner{
		self:     self,
		control:  c,
		lease:    d,
		loop:     loop,
		clock:    galenastair.SystemClock{},
		logger:   log.NewNopLogger(),
		ordered:  func(galenastair.OrderKind, place.Reason, string) {},
		ctx:      context.Background(),
		sites:    map[galenastair.ServiceName]*site{},
		servers:  map[galenastair.BackendServerID]pool.Server{},
		absent:   map[galenastair.BackendServerID]time.Time{},
		lender:   quota.NewLender(t),
		loads:    loads{},
		limits:   map[galenastair.BackendServerID]namedLimit{},
		limiter:  ratelimit.NewLimiter(),
		assigner: account.NewAssigner(),
		boot:     boottime.Now,
		reports:  map[galenastair.InstanceID]report{},
	}
	for _, o := range opts {
		o(p)
	}
	return p
}

// Run plans until the context ends, and returns when no order is under way.
func (p *Planner) Run(ctx context.Context) error {
	defer p.tasks.Wait()
	if err := p.loop.Post(ctx, func() { p.ctx = ctx }); err != nil {
		return err
	}
	err := p.loop.Every(ctx, tickPeriod, p.tick)
	// a round posted before the end starts no order after the wait has begun
	_ = p.loop.Do(context.WithoutCancel(ctx), func() {})
	return err
}

// SetCatalog takes in a version of the configuration.
func (p *Planner) SetCatalog(ctx context.Context, c *catalog.Catalog) error {
	return p.loop.Post(ctx, func() {
		p.lender.SetContracts(c)
		c.Services(func(s *catalog.Service) {
			if s.Engine == nil {
				return
			}
			if old := p.sites[s.Name]; old != nil {
				old.contents = newContents(s)
				return
			}
			p.sites[s.Name] = newSite(s)
			p.sites[s.Name].strict = p.held
			for _, srv := range p.servers {
				p.setServer(srv)
			}
		})
	})
}

func (p *Planner) setServer(s pool.Server) {
	if _, absent := p.absent[s.ID]; absent {
		// what it held is gone, or soon is: as with one that leaves, copies are made elsewhere
		s.Leaving = true
	}
	if site := p.sites[s.Service]; site != nil {
		site.set(p.clock.Now(), s)
	}
}

// SetServer takes in a backend server's registration.
func (p *Planner) SetServer(ctx context.Context, s pool.Server) error {
	return p.loop.Post(ctx, func() {
		if old, ok := p.servers[s.ID]; ok && old.Born != s.Born {
			delete(p.absent, s.ID)
		}
		p.servers[s.ID] = s
		p.setServer(s)
	})
}

// RemoveServer forgets a backend server.
func (p *Planner) RemoveServer(ctx context.Context, id galenastair.BackendServerID) error {
	return p.loop.Post(ctx, func() {
		delete(p.servers, id)
		delete(p.absent, id)
		delete(p.limits, id)
		for _, s := range p.sites {
			delete(s.engines, id)
		}
	})
}

// tick begins or ends a term, plans, and starts what orders can be started.
func (p *Planner) tick() {
	now := p.clock.Now()
	holds := p.lease.Holds()
	if holds != p.held {
		p.held, p.since = holds, now
		p.beginOrEnd(now, holds)
	}
	if !holds {
		return
	}
	p.step(now)
	p.present(now)
	_, orders := p.lease.Order()
	p.expire(now)
	for _, s := range p.sites {
		s.loads, s.limits = p.loads, p.limits
		if orders && now.Sub(p.since) >= firstRound {
			s.round(now)
		}
		p.start(now, s)
	}
	p.announceUnloads(now)
}

func (p *Planner) beginOrEnd(now time.Time, holds bool) {
	p.logger.Log("event", "term", "holds", holds)
	if holds {
		p.lender.Reset(now, p.note.Note)
		p.limiter.Reset()
		p.beginOwners()
		clear(p.reports)
		clear(p.loads)
	}
	for _, s := range p.sites {
		s.strict = holds
		for _, e := range s.engines {
			e.endTerm()
			if holds {
				e.beginTerm()
			}
		}
	}
}

// absentFor is how long an engine counts as ended after an instance has said so: some
// exchanges, in which those that ask it say so again.
const absentFor = 1500 * time.Millisecond

// noteAbsent takes in that nothing listens at some servers' addresses. The registration of a
// crashed process stays for three heartbeats; its models are loaded elsewhere before that.
func (p *Planner) noteAbsent(now time.Time, ids []galenastair.BackendServerID) {
	for _, id := range ids {
		s, known := p.servers[id]
		if !known {
			continue
		}
		_, before := p.absent[id]
		p.absent[id] = now
		if !before {
			p.logger.Log("event", "absent", "server", id, "absent", true)
			p.setServer(s)
		}
	}
}

// present ends the absence of servers of which nobody says so any more.
func (p *Planner) present(now time.Time) {
	for id, at := range p.absent {
		if now.Sub(at) < absentFor {
			continue
		}
		delete(p.absent, id)
		p.logger.Log("event", "absent", "server", id, "absent", false)
		p.setServer(p.servers[id])
	}
}

func (p *Planner) step(now time.Time) {
	if now.Sub(p.foretold) < forecastPeriod {
		return
	}
	p.foretold = now
	for _, s := range p.sites {
		s.forecast.Step(now)
	}
}

// expire forgets reports of instances that have fallen silent.
func (p *Planner) expire(now time.Time) {
	for id, r := range p.reports {
		if now.Sub(r.at) > reportLife {
			p.loads.subtract(r.loads)
			delete(p.reports, id)
		}
	}
}

// Exchange takes in one instance's report and answers with what the others see.
func (p *Planner) Exchange(ctx context.Context, r Report) (News, error) {
	var news News
	err := ErrNotPlanner
	doErr := p.loop.Do(ctx, func() {
		if p.lease.Hosts() {
			news, err = p.answer(r), nil
		}
	})
	if doErr != nil {
		return News{}, doErr
	}
	return news, err
}

func (p *Planner) answer(r Report) News {
	now := p.clock.Now()
	p.loads.subtract(p.reports[r.Instance].loads)
	p.reports[r.Instance] = report{r.Loads, now}
	p.noteAbsent(now, r.Absent)
	p.noteLimits(now, r.Limits)
	for name, work := range r.Demands {
		for _, s := range p.sites {
			s.asked(now, name, work)
		}
	}
	for _, d := range r.Poisons {
		p.poisons = append(p.poisons, poisonAt{d, r.Instance, now})
	}
	p.decideOwners(now)
	news := News{Lapsed: !p.lease.Holds(), Standing: p.lender.Heard(now, r.Instance, r.Passed), Loads: p.loads.keyed()}
	p.loads.add(r.Loads)
	news.Limits, news.Index = p.currentLimits(now), p.index(r.Instance)
	p.addOwners(r, &news)
	for _, a := range r.Asks {
		if p.owned {
			break
		}
		if n := p.lender.Lend(now, a); n > 0 {
			news.Loans = append(news.Loans, quota.Ask{Organisation: a.Organisation, Amount: n})
		}
	}
	p.expireNews(now)
	news.Newest = p.newest
	if r.Seen > p.newest {
		// it was told by a process before this one
		r.Seen = 0
	}
	for _, c := range p.news {
		if c.number <= r.Seen {
			continue
		}
		if c.dropped {
			news.Dropped = append(news.Dropped, c.Placement)
		} else {
			news.Placed = append(news.Placed, c.Placement)
		}
	}
	for _, c := range p.poisons {
		if c.from != r.Instance {
			news.Poisons = append(news.Poisons, c.digest)
		}
	}
	return news
}

// Borrow lends what one request lacks.
func (p *Planner) Borrow(ctx context.Context, a quota.Ask) (float64, error) {
	var n float64
	err := ErrNotPlanner
	doErr := p.loop.Do(ctx, func() {
		if p.lease.Hosts() && !p.owned {
			n, err = p.lender.LendAll(p.clock.Now(), a), nil
		}
	})
	if doErr != nil {
		return 0, doErr
	}
	return n, err
}
