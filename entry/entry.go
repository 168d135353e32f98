package entry

import (
	"context"
	"net"
	"net/http"
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
	settings   settings.Settings
	logger     log.Logger
	log        galenastair.Log
	list       *logservice.Client
	loop       *control.Loop
	follower   *config.Follower
	members    *member.Runtime
	dispatcher *dispatch.Dispatcher
	services   *request.ServiceList
	limiter    *rate.Limiter
	claims     *claim.Keeper
	engine     engines
	leader     *place.Leader
	reporter   *report.Reporter
	server     *request.Server
	metrics    *operator.Metrics
	callers    net.Listener
	// callersServed is closed when the callers' port accepts no more.
	callersServed <-chan struct{}
	conns         *httpserve.Conns
	fleet         fleet
	stopping      stopping
}

// Option changes how an entry is made.
type Option func(*Entry)

// WithLogger says where decisions and events are logged.
func WithLogger(l log.Logger) Option { return func(e *Entry) { e.logger = l } }

// New returns an entry that does nothing until Run.
func New(s settings.Settings, opts ...Option) (*Entry, error) {
	e := &Entry{settings: s, logger: log.NewNopLogger(), metrics: operator.NewMetrics(), loop: control.NewLoop(), conns: httpserve.NewConns()}
	for _, o := range opts {
		o(e)
	}
	e.log = logservice.New(s.Platform.LogAddress)
	e.list = logservice.New(s.Platform.InstanceListAddress)
	e.engine = newEngines(s.Engines, e.fleet.engineName)
	e.leader = e.newLeader(e.loop)
	e.follower = config.NewFollower(e.log, config.WithLogger(e.logger), config.WithFleet(e.fleet.entries),
		config.WithPeers(record.NewClient(e.otherMembers)))
	e.members = member.New(e.log,
		member.WithInstance(s.Instance.ID, s.Instance.AvailabilityZone, s.Instance.PeerAddress),
		member.WithRegion(s.Instance.Region),
		member.WithLoop(e.loop),
		member.WithInstanceList(e.list),
		member.WithLogger(e.logger),
		member.WithRegisterer(e.metrics.Registry()),
		member.WithConfigurationOffset(e.configurationOffset),
		member.WithFold(e.leader),
	)
	e.dispatcher = dispatch.New()
	e.reporter = e.newReporter()
	e.services = request.NewServiceList(s.Instance.AvailabilityZone)
	limiter, err := e.newLimiter()
	if err != nil {
		return nil, err
	}
	e.limiter = limiter
	e.claims = claim.New(claimDuties{e.members},
		claim.WithHTTPClient(&http.Client{Transport: httpclient.NewTransport()}), claim.WithMetrics(e.metrics.Registry()))
	e.server = request.NewServer(request.Dependencies{
		Configuration: e.follower,
		Lease:         e,
		Limiter:       charges{e.limiter},
		Claims:        keeper{e.claims},
		Dispatcher:    e.dispatcher,
		Services:      e.services,
		Poison:        poison{claim.NewPoison(nil), e.members},
		Retries:       e.dispatcher,
		Engine:        e.engine,
		Service:       service.New(),
	}, request.WithLogger(e.logger), request.WithRecorder(e.metrics))
	return e, nil
}

func (e *Entry) newLimiter() (*rate.Limiter, error) {
	opts := []rate.Option{
		rate.WithHTTPClient(&http.Client{Transport: httpclient.NewTransport()}),
		rate.WithMetrics(e.metrics.Registry()),
	}
	h, err := openHistory(e.settings.Instance.History)
	if err != nil {
		return nil, err
	}
	if h != nil {
		opts = append(opts, rate.WithHistory(h.grant))
	}
	return rate.New(e.rateDuties, e.rateContracts, opts...), nil
}

// Run serves until the context ends, then stops without cutting a request.
func (e *Entry) Run(ctx context.Context) error {
	var g run.Group
	work, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWork()
	add := func(name string, part func(context.Context) error) { rungroup.Add(work, &g, e.logger, name, part) }
	add("control", e.loop.Run)
	add("membership", e.members.Run)
	add("configuration", e.follower.Run)
	add("snapshots", e.republish)
	add("withdrawals", e.endWithdrawn)
	add("instances", e.followList)
	add("reports", e.reporter.Run)
	add("cache events", e.followCacheEvents)
	add("placement", e.leader.Run)
	add("demand", e.tellDemand)
	add("rate", e.limiter.Run)
	add("claims", e.claims.Run)
	add("registration", e.register)
	if err := e.listen(&g); err != nil {
		return err
	}
	// the one actor that sees the signal: it stops serving in order, then the
	// others end because it has
	g.Add(func() error { return e.stopOn(ctx) }, func(error) { stopWork() })
	return g.Run()
}

func (e *Entry) configurationOffset() galenastair.Offset {
	if v := e.follower.View(); v != nil {
		return v.Offset()
	}
	return 0
}

// republish keeps a snapshot of the configuration in the log while this instance leads.
func (e *Entry) republish(ctx context.Context) error {
	leads := func() bool { return e.members.Status().Leads(time.Now()) }
	return e.follower.Republish(ctx, e.settings.Platform.Retention, string(e.settings.Instance.ID), leads)
}

// endWithdrawn ends the requests of withdrawn keys at each change of configuration.
func (e *Entry) endWithdrawn(ctx context.Context) error {
	return e.server.Active().Watch(ctx, e.follower)
}

// register shows the platform that this instance lives, or is leaving.
func (e *Entry) register(ctx context.Context) error {
	err := e.list.Register(ctx, e.listed, func(err error) {
		e.logger.Log("event", "register", "err", err)
	})
	withdraw, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
	defer cancel()
	if err := e.list.Withdraw(withdraw, string(e.settings.Instance.ID)); err != nil {
		e.logger.Log("event", "withdraw", "err", err)
	}
	return err
}

func (e *Entry) listed() galenastair.ListedInstance {
	return galenastair.ListedInstance{
		ID:               string(e.settings.Instance.ID),
		Role:             galenastair.RoleEntry,
		Address:          e.settings.Instance.PeerAddress,
		AvailabilityZone: e.settings.Instance.AvailabilityZone,
		Leaving:          e.stopping.begun(),
	}
}
