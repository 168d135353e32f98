package entry

import (
	"context"
	"net"
	"time"

	"github.com/go-kit/log"
	"github.com/oklog/run"

	"galenastair"
	"galenastair/claim"
	"galenastair/config"
	"galenastair/control"
	"galenastair/dispatch"
	"galenastair/httpclient"
	"galenastair/httpserve"
	"galenastair/logservice"
	"galenastair/member"
	"galenastair/operator"
	"galenastair/peer/record"
	"galenastair/place"
	"galenastair/rate"
	"galenastair/report"
	"galenastair/request"
	"galenastair/rungroup"
	"galenastair/service"
	"galenastair/settings"
)

// Entry is one instance of the system.
type Entry struct {
	settings       settings.Settings
	logger         log.Logger
	log            galenastair.Log
	instanceList   *logservice.Client
	loop           *control.Loop
	follower       *config.Follower
	members        *member.Runtime
	dispatcher     *dispatch.Dispatcher
	services       *request.ServiceList
	limiter        *rate.Limiter
	claims         *claim.Manager
	engine         engineClient
	leader         *place.Leader
	reporter       *report.Reporter
	server         *request.Server
	metrics        *operator.Metrics
	callerListener net.Listener
	// callerServeDone is closed when the callers' port no longer accepts connections.
	callerServeDone <-chan struct{}
	conns           *httpserve.ConnTracker
	fleet           fleet
	shutdown        shutdownState
	openListener    ListenFunc
}

// ListenFunc opens the TCP listener of an address.
type ListenFunc func(address string) (net.Listener, error)

func listenTCP(address string) (net.Listener, error) { return net.Listen("tcp", address) }

// Option configures an Entry.
type Option func(*Entry)

// WithLogger sets the logger for decisions and events.
func WithLogger(l log.Logger) Option { return func(e *Entry) { e.logger = l } }

// WithListen replaces how the instance opens its listeners, for listeners that are already open.
func WithListen(f ListenFunc) Option { return func(e *Entry) { e.openListener = f } }

// New returns an entry that does nothing until Run is called.
func New(s settings.Settings, opts ...Option) (*Entry, error) {
	e := &Entry{settings: s, logger: log.NewNopLogger(), metrics: operator.NewMetrics(), loop: control.NewLoop(), conns: httpserve.NewConnTracker(), openListener: listenTCP}
	for _, o := range opts {
		o(e)
	}
	e.log = logservice.New(s.Platform.LogAddress)
	e.instanceList = logservice.New(s.Platform.InstanceListAddress)
	e.engine = newEngineClient(s.Engines, e.fleet.engineName)
	e.leader = e.newLeader(e.loop)
	e.follower = config.NewFollower(e.log, config.WithLogger(e.logger), config.WithFleetSize(e.fleet.entryCount),
		config.WithPeers(record.NewClient(e.otherMembers)))
	e.members = member.New(e.log,
		member.WithInstance(s.Instance.ID, s.Instance.AvailabilityZone, s.Instance.PeerAddress),
		member.WithRegion(s.Instance.Region),
		member.WithLoop(e.loop),
		member.WithInstanceList(e.instanceList),
		member.WithLogger(e.logger),
		member.WithRegisterer(e.metrics.Registry()),
		member.WithConfigurationOffset(e.configurationOffset),
		member.WithStateMachine(e.leader),
	)
	e.dispatcher = dispatch.New()
	e.reporter = e.newReporter()
	e.services = request.NewServiceList(s.Instance.AvailabilityZone)
	limiter, err := e.newLimiter()
	if err != nil {
		return nil, err
	}
	e.limiter = limiter
	e.claims = claim.New(claimAssignment{e.members},
		claim.WithHTTPClient(httpclient.NewPeerClient(httpclient.NewTransport())), claim.WithMetrics(e.metrics.Registry()))
	e.server = request.NewServer(request.Dependencies{
		Configuration: e.follower,
		Lease:         e,
		Limiter:       limiterAdapter{e.limiter},
		Claims:        claimsAdapter{e.claims},
		Dispatcher:    e.dispatcher,
		Services:      e.services,
		Poison:        poisonTracker{claim.NewPoisonTracker(nil), e.members},
		Retries:       e.dispatcher,
		Engine:        e.engine,
		Service:       service.New(),
	}, request.WithLogger(e.logger), request.WithRecorder(e.metrics))
	return e, nil
}

func (e *Entry) newLimiter() (*rate.Limiter, error) {
	opts := []rate.Option{
		rate.WithHTTPClient(httpclient.NewPeerClient(httpclient.NewTransport())),
		rate.WithMetrics(e.metrics.Registry()),
	}
	h, err := openGrantHistory(e.settings.Instance.HistoryPath)
	if err != nil {
		return nil, err
	}
	if h != nil {
		opts = append(opts, rate.WithGrantObserver(h.record))
	}
	return rate.New(e.rateAssignment, e.rateContracts, opts...), nil
}

// Run serves until the context is done, then shuts down gracefully.
func (e *Entry) Run(ctx context.Context) error {
	var g run.Group
	work, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWork()
	add := func(name string, fn func(context.Context) error) { rungroup.Add(work, &g, e.logger, name, fn) }
	add("control", e.loop.Run)
	add("membership", e.members.Run)
	add("configuration", e.follower.Run)
	add("snapshots", e.publishSnapshots)
	add("withdrawals", e.cancelWithdrawn)
	add("instances", e.watchInstances)
	add("reports", e.reporter.Run)
	add("cache events", e.pollCacheEvents)
	add("placement", e.leader.Run)
	add("demand", e.reportDemand)
	add("rate", e.limiter.Run)
	add("claims", e.claims.Run)
	add("registration", e.register)
	if err := e.listen(&g); err != nil {
		return err
	}
	// Only this actor receives the cancellation of ctx. It shuts down gracefully, and
	// its return stops the other actors.
	g.Add(func() error { return e.gracefulShutdown(ctx) }, func(error) { stopWork() })
	return g.Run()
}

func (e *Entry) configurationOffset() galenastair.Offset {
	if v := e.follower.View(); v != nil {
		return v.Offset()
	}
	return 0
}

// publishSnapshots publishes snapshots of the configuration to the log while this
// instance is the leader.
func (e *Entry) publishSnapshots(ctx context.Context) error {
	isLeader := func() bool { return e.members.Status().Leads(time.Now()) }
	return e.follower.PublishSnapshots(ctx, e.settings.Platform.Retention, string(e.settings.Instance.ID), isLeader)
}

// cancelWithdrawn cancels the requests of withdrawn keys after each change of the
// configuration.
func (e *Entry) cancelWithdrawn(ctx context.Context) error {
	return e.server.Active().Watch(ctx, e.follower)
}

// register keeps this instance in the platform's instance list, with its leaving flag,
// and removes it from the list at the end.
func (e *Entry) register(ctx context.Context) error {
	err := e.instanceList.Register(ctx, e.registration, func(err error) {
		e.logger.Log("event", "register", "err", err)
	})
	withdrawCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
	defer cancel()
	if err := e.instanceList.Deregister(withdrawCtx, string(e.settings.Instance.ID)); err != nil {
		e.logger.Log("event", "withdraw", "err", err)
	}
	return err
}

func (e *Entry) registration() galenastair.ListedInstance {
	return galenastair.ListedInstance{
		ID:               string(e.settings.Instance.ID),
		Role:             galenastair.RoleEntry,
		Address:          e.settings.Instance.PeerAddress,
		AvailabilityZone: e.settings.Instance.AvailabilityZone,
		Leaving:          e.shutdown.started(),
	}
}
