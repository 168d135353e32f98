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
	// planInterval is the interval between planning rounds. Reports change about once a
	// second; four rounds in that time start a step soon after it has become possible.
	planInterval = 250 * time.Millisecond
	// forecastInterval is the interval at which the forecast is updated; entries send their
	// demand at the same interval.
	forecastInterval = 5 * time.Second
	// catalogueInterval is the interval at which the catalogue is read from the weight store.
	catalogueInterval = 10 * time.Second
	// loadTimeout is how long an ordered load that no report shows counts as loading, whichever
	// leader ordered it. After that the model is ordered again and the memory stays reserved.
	loadTimeout = 10 * time.Second
	// callTimeout bounds each call to an engine or the log.
	callTimeout = 5 * time.Second
	// pendingPollInterval is the interval at which an engine with pending orders is asked for
	// its report. Reports change about once a second; each poll transfers about 2 KB.
	pendingPollInterval = time.Second
	// retryDelay is the wait after a failed step or catalogue read, which would otherwise be
	// retried in a tight loop.
	retryDelay = 2 * time.Second
)

// Leadership reports whether this instance is the leader with a valid lease at now, and its
// fencing token.
type Leadership func(now time.Time) (galenastair.Fence, bool)

// Leader carries out the planner's steps while this instance is the leader.
//
// Engines that check fences are given orders without a record once their report shows this
// leader's fence, so also during a log outage (see package ledger). Other engines get no
// orders during an outage, since none could be read back; what is loaded there keeps serving.
// The alternative of recording orders at the leader's watcher during an outage was rejected: a
// successor would have to learn of them from a member that may fail together with the leader,
// and memory could then be overcommitted. Second copies (Spare) cover the models for which only
// such an engine has room.
type Leader struct {
	self          galenastair.InstanceID
	stream        galenastair.Stream
	engine        galenastair.Engine
	log           galenastair.Log
	store         galenastair.WeightStore
	leadership    Leadership
	loop          *control.Loop
	clock         galenastair.Clock
	logger        log.Logger
	settings      Settings
	onOrder       func(galenastair.OrderKind, Reason)
	logReachable  func(time.Time) bool
	orderLifetime time.Duration
	tasks         sync.WaitGroup

	// The fields below are owned by the control loop.

	ledger       *ledger.Ledger
	planner      *Planner
	forecast     *forecast.Forecast
	forecastAt   time.Time
	fence        galenastair.Fence
	servers      map[galenastair.BackendServerID]route.Server
	reports      map[galenastair.BackendServerID]galenastair.EngineReport
	catalogue    []galenastair.ModelWeights
	plannedSteps map[galenastair.BackendServerID][]Step
	ownOrders    map[galenastair.OrderID]*ownOrder
	polledAt     map[galenastair.BackendServerID]time.Time
	engineStates map[galenastair.BackendServerID]engineState
	// stateSince is when an engine entered its current state.
	stateSince map[galenastair.BackendServerID]time.Time
	modelWaits map[galenastair.ModelName]modelWait
	// recordFailedAt is when recording an order last failed.
	recordFailedAt   time.Time
	unhealthyServers []galenastair.BackendServerID
	reportedWork     map[galenastair.InstanceID]map[galenastair.ModelName]float64
}

// Option configures a Leader.
type Option func(*Leader)

// WithClock sets the clock; the default is the system clock.
func WithClock(c galenastair.Clock) Option { return func(l *Leader) { l.clock = c } }

// WithLogger sets the logger; by default nothing is logged.
func WithLogger(logger log.Logger) Option { return func(l *Leader) { l.logger = logger } }

// WithSettings sets the planner's settings; the default is DefaultSettings.
func WithSettings(s Settings) Option { return func(l *Leader) { l.settings = s } }

// WithOrderObserver sets a function that is called for each order that an engine accepted.
func WithOrderObserver(f func(galenastair.OrderKind, Reason)) Option {
	return func(l *Leader) { l.onOrder = f }
}

// WithLogReachable sets the function that reports whether the log is reachable, so that an order
// to an engine that ignores fences could be read back.
func WithLogReachable(f func(time.Time) bool) Option { return func(l *Leader) { l.logReachable = f } }

// WithOrderLifetime sets how long an order may still arrive at an engine; see package ledger.
func WithOrderLifetime(d time.Duration) Option { return func(l *Leader) { l.orderLifetime = d } }

// Dependencies are the services that a Leader uses.
type Dependencies struct {
	Engine     galenastair.Engine
	Log        galenastair.Log
	Store      galenastair.WeightStore
	Leadership Leadership
	Loop       *control.Loop
}

// NewLeader returns a Leader. It sends orders only during Run and while Leadership holds.
func NewLeader(self galenastair.InstanceID, r galenastair.Region, d Dependencies, opts ...Option) *Leader {
	l := &Leader{
		self:          self,
		stream:        galenastair.ControlStream(r),
		engine:        d.Engine,
		log:           d.Log,
		store:         d.Store,
		leadership:    d.Leadership,
		loop:          d.Loop,
		clock:         galenastair.SystemClock{},
		logger:        log.NewNopLogger(),
		settings:      DefaultSettings(),
		onOrder:       func(galenastair.OrderKind, Reason) {},
		logReachable:  func(time.Time) bool { return true },
		orderLifetime: ledger.DefaultOrderLifetime,
		forecast:      forecast.New(),
		servers:       map[galenastair.BackendServerID]route.Server{},
		reports:       map[galenastair.BackendServerID]galenastair.EngineReport{},
		plannedSteps:  map[galenastair.BackendServerID][]Step{},
		ownOrders:     map[galenastair.OrderID]*ownOrder{},
		polledAt:      map[galenastair.BackendServerID]time.Time{},
		engineStates:  map[galenastair.BackendServerID]engineState{},
		stateSince:    map[galenastair.BackendServerID]time.Time{},
		reportedWork:  map[galenastair.InstanceID]map[galenastair.ModelName]float64{},
	}
	for _, opt := range opts {
		opt(l)
	}
	l.ledger = ledger.New(l.orderLifetime)
	l.planner = NewPlanner(l.settings)
	return l
}

// Run plans and sends orders until the context ends and its tasks have returned.
func (l *Leader) Run(ctx context.Context) error {
	defer l.tasks.Wait()
	l.tasks.Go(func() { l.pollCatalogue(ctx) })
	err := l.loop.Every(ctx, planInterval, func() { l.tick(ctx) })
	// Runs any round that is already posted, so that none starts a task after tasks.Wait.
	_ = l.loop.Do(context.WithoutCancel(ctx), func() {})
	return err
}

// SetServers replaces the list of engines.
func (l *Leader) SetServers(ctx context.Context, list []route.Server) error {
	return l.loop.Post(ctx, func() {
		clear(l.servers)
		for _, s := range list {
			l.servers[s.ID] = s
		}
		for id := range l.reports {
			if _, ok := l.servers[id]; !ok {
				delete(l.reports, id)
				delete(l.polledAt, id)
				l.ledger.RemoveServer(id)
			}
		}
	})
}

// SetUnhealthy replaces the list of backend servers that this instance's router finds unhealthy.
func (l *Leader) SetUnhealthy(ctx context.Context, ids []galenastair.BackendServerID) error {
	return l.loop.Post(ctx, func() { l.unhealthyServers = ids })
}

// ApplyReport sets an engine's report for planning, whichever way it was received. It may be
// old, since the engine is asked again before an order.
func (l *Leader) ApplyReport(ctx context.Context, r galenastair.EngineReport) error {
	return l.loop.Post(ctx, func() { l.reports[r.BackendServer] = r })
}

// RecordDemand adds the work per model that an entry has received since it started.
func (l *Leader) RecordDemand(ctx context.Context, from galenastair.InstanceID, ds []dispatch.Demand) error {
	return l.loop.Post(ctx, func() { l.recordDemand(from, ds) })
}

// recordDemand passes the increase of an entry's counters to the forecast. A counter below its
// last value belongs to a new process.
func (l *Leader) recordDemand(from galenastair.InstanceID, ds []dispatch.Demand) {
	last, known := l.reportedWork[from]
	if !known {
		last = map[galenastair.ModelName]float64{}
		l.reportedWork[from] = last
	}
	for _, d := range ds {
		work := d.Work
		if !known {
			work = 0 // the first counters cover the entry's whole uptime
			last[d.Model] = d.Work
		}
		if work >= last[d.Model] {
			work -= last[d.Model]
		}
		last[d.Model] = d.Work
		l.forecast.Observe(d.Model, work)
	}
}

func (l *Leader) pollCatalogue(ctx context.Context) {
	for ctx.Err() == nil {
		wait := catalogueInterval
		if err := l.refreshCatalogue(ctx); err != nil {
			_ = l.logger.Log("event", "catalogue", "err", err)
			wait = retryDelay
		}
		sleep(ctx, wait)
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

// sleep waits for d or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
