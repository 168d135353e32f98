package place

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log"

	"galenastair"
	"galenastair/control"
	"galenastair/dispatch"
	"galenastair/forecast"
	"galenastair/ledger"
	"galenastair/route"
)

const (
	// tickPeriod is how often the leader plans. Reports change about once a second;
	// four rounds in that time start what has just become possible.
	tickPeriod = 250 * time.Millisecond
	// forecastPeriod is how often demand becomes a rate; entries send theirs as often.
	forecastPeriod = 5 * time.Second
	// cataloguePeriod is how often the weight store is asked what there is.
	cataloguePeriod = 10 * time.Second
	// orderPatience is how long a load that no report shows still counts as coming,
	// whoever ordered it. After it the model is ordered anew; the memory stays reserved.
	orderPatience = 10 * time.Second
	// callTimeout bounds each call to an engine or the log.
	callTimeout = 5 * time.Second
	// lookPeriod is how often an engine with pending orders is asked: as often as
	// engines' reports change, about 2 KB/s for each while something moves there.
	lookPeriod = time.Second
	// failureRest keeps a backend server that refuses or fails from being asked in a
	// tight loop.
	failureRest = 2 * time.Second
)

// Duty says whether this instance leads at now, its lease included, and under which fence.
type Duty func(now time.Time) (galenastair.Fence, bool)

// Leader carries out the planner's steps while this instance leads.
//
// Engines that check fences are given orders without a record, also while the log is
// down, once they show this leader's fence (see ledger). The others are given nothing
// new then, as no order could be read back: what is loaded there stays and goes on
// serving. Weighed against recording orders at the leader's watcher in an outage: a
// successor would have to learn them from a member that may die with the leader, and
// memory would hang on that. Second copies (Spare) are there for models that only such
// an engine has room for.
type Leader struct {
	self     galenastair.InstanceID
	stream   galenastair.Stream
	engine   galenastair.Engine
	log      galenastair.Log
	store    galenastair.WeightStore
	duty     Duty
	loop     *control.Loop
	clock    galenastair.Clock
	logger   log.Logger
	settings Settings
	ordered  func(galenastair.OrderKind, Reason)
	records  func(time.Time) bool
	life     time.Duration
	tasks    sync.WaitGroup

	// the rest is owned by the control loop
	ledger    *ledger.Ledger
	planner   *Planner
	forecast  *forecast.Forecast
	foretold  time.Time
	fence     galenastair.Fence
	servers   map[galenastair.BackendServerID]route.Server
	reports   map[galenastair.BackendServerID]galenastair.EngineReport
	catalogue []galenastair.Weight
	planned   map[galenastair.BackendServerID][]Step
	orders    map[galenastair.OrderID]*ownOrder
	looked    map[galenastair.BackendServerID]time.Time
	states    map[galenastair.BackendServerID]engineState
	// stateSince is when an engine came into its state.
	stateSince map[galenastair.BackendServerID]time.Time
	waits      map[galenastair.ModelName]waiting
	// recordFailed is when an order could last not be recorded.
	recordFailed time.Time
	slow         []galenastair.BackendServerID
	counted      map[galenastair.InstanceID]map[galenastair.ModelName]float64
}

// Option varies a Leader.
type Option func(*Leader)

// WithClock replaces the clock of the machine.
func WithClock(c galenastair.Clock) Option { return func(l *Leader) { l.clock = c } }

// WithLogger sets where orders and their ends are logged.
func WithLogger(logger log.Logger) Option { return func(l *Leader) { l.logger = logger } }

// WithSettings replaces the settings of the planner.
func WithSettings(s Settings) Option { return func(l *Leader) { l.settings = s } }

// WithOrdered sets what is told of each order that an engine took.
func WithOrdered(f func(galenastair.OrderKind, Reason)) Option {
	return func(l *Leader) { l.ordered = f }
}

// WithRecords sets what says whether the log is in touch, so that an order for an engine
// that ignores fences could be read back.
func WithRecords(f func(time.Time) bool) Option { return func(l *Leader) { l.records = f } }

// WithLife sets how long an order may still arrive at an engine that ignores fences.
func WithLife(d time.Duration) Option { return func(l *Leader) { l.life = d } }

// Ports are what a leader speaks to.
type Ports struct {
	Engine galenastair.Engine
	Log    galenastair.Log
	Store  galenastair.WeightStore
	Duty   Duty
	Loop   *control.Loop
}

// NewLeader returns a leader that does nothing until Run and while duty says no.
func NewLeader(self galenastair.InstanceID, r galenastair.Region, p Ports, opts ...Option) *Leader {
	l := &Leader{
		self:       self,
		stream:     galenastair.ControlStream(r),
		engine:     p.Engine,
		log:        p.Log,
		store:      p.Store,
		duty:       p.Duty,
		loop:       p.Loop,
		clock:      galenastair.SystemClock{},
		logger:     log.NewNopLogger(),
		settings:   DefaultSettings(),
		ordered:    func(galenastair.OrderKind, Reason) {},
		records:    func(time.Time) bool { return true },
		life:       ledger.DefaultOrderLifetime,
		forecast:   forecast.New(),
		servers:    map[galenastair.BackendServerID]route.Server{},
		reports:    map[galenastair.BackendServerID]galenastair.EngineReport{},
		planned:    map[galenastair.BackendServerID][]Step{},
		orders:     map[galenastair.OrderID]*ownOrder{},
		looked:     map[galenastair.BackendServerID]time.Time{},
		states:     map[galenastair.BackendServerID]engineState{},
		stateSince: map[galenastair.BackendServerID]time.Time{},
		counted:    map[galenastair.InstanceID]map[galenastair.ModelName]float64{},
	}
	for _, opt := range opts {
		opt(l)
	}
	l.ledger = ledger.New(l.life)
	l.planner = NewPlanner(l.settings)
	return l
}

// Run plans and orders until the context ends, and returns when its tasks have ended.
func (l *Leader) Run(ctx context.Context) error {
	defer l.tasks.Wait()
	l.tasks.Go(func() { l.readCatalogue(ctx) })
	err := l.loop.Every(ctx, tickPeriod, func() { l.tick(ctx) })
	// a round posted before the end starts no task after the wait has begun
	_ = l.loop.Do(context.WithoutCancel(ctx), func() {})
	return err
}

// SetServers replaces the list of model engines.
func (l *Leader) SetServers(ctx context.Context, list []route.Server) error {
	return l.loop.Post(ctx, func() {
		clear(l.servers)
		for _, s := range list {
			l.servers[s.ID] = s
		}
		for id := range l.reports {
			if _, ok := l.servers[id]; !ok {
				delete(l.reports, id)
				delete(l.looked, id)
				l.ledger.RemoveServer(id)
			}
		}
	})
}

// SetSlow replaces the backend servers that this instance's router keeps finding slow.
func (l *Leader) SetSlow(ctx context.Context, ids []galenastair.BackendServerID) error {
	return l.loop.Post(ctx, func() { l.slow = ids })
}

// Report takes in an engine's report, however it came here: it is only planned with,
// and the engine is asked again before anything is ordered.
func (l *Leader) Report(ctx context.Context, r galenastair.EngineReport) error {
	return l.loop.Post(ctx, func() { l.reports[r.BackendServer] = r })
}

// Demand takes in what was asked of an entry since it started.
func (l *Leader) Demand(ctx context.Context, from galenastair.InstanceID, ds []dispatch.Demand) error {
	return l.loop.Post(ctx, func() { l.observe(from, ds) })
}

// observe counts what is new. A count below the last one is that of a new process.
func (l *Leader) observe(from galenastair.InstanceID, ds []dispatch.Demand) {
	last, known := l.counted[from]
	if !known {
		last = map[galenastair.ModelName]float64{}
		l.counted[from] = last
	}
	for _, d := range ds {
		work := d.Work
		if !known {
			work = 0 // its whole past is not the demand of the last seconds
			last[d.Model] = d.Work
		}
		if work >= last[d.Model] {
			work -= last[d.Model]
		}
		last[d.Model] = d.Work
		l.forecast.Observe(d.Model, work)
	}
}

func (l *Leader) readCatalogue(ctx context.Context) {
	for ctx.Err() == nil {
		wait := cataloguePeriod
		if err := l.refreshCatalogue(ctx); err != nil {
			_ = l.logger.Log("event", "catalogue", "err", err)
			wait = failureRest
		}
		rest(ctx, wait)
	}
}

func (l *Leader) refreshCatalogue(ctx context.Context) error {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	ws, err := l.store.Catalogue(call)
	if err != nil {
		return err
	}
	return l.loop.Post(ctx, func() { l.catalogue = ws })
}

// rest waits, or returns early when the context ends.
func rest(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
