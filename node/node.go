package node

import (
	"context"
	"maps"
	"net"
	"slices"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/oklog/run"

	"galenastair"
	"galenastair/account"
	"galenastair/admission"
	"galenastair/catalog"
	"galenastair/claim"
	"galenastair/control"
	"galenastair/follow"
	"galenastair/gateway"
	"galenastair/httpconn"
	"galenastair/httpserve"
	"galenastair/lease"
	"galenastair/membudget"
	"galenastair/overload"
	"galenastair/planner"
	"galenastair/platform"
	"galenastair/pool"
	"galenastair/quota"
	"galenastair/rungroup"
	"galenastair/settings"
)

const (
	// authorisationMargin is subtracted from the time for which a withdrawn key may still be
	// accepted. It covers the time between the check of a key and the arrival of the request
	// at the backend server.
	authorisationMargin = 300 * time.Millisecond
	// requestTransitTime is the maximum time from the choice of a leaving server to the arrival
	// of the request there.
	requestTransitTime = 600 * time.Millisecond
	// A request that has crashed poisonThreshold backend servers is refused. The crashes of one that was
	// completed within completionWindow before must span some time.
	poisonThreshold  = 3
	completionWindow = 20 * time.Second
)

// Node is one instance on a platform that brings its own store.
type Node struct {
	settings      settings.Gateway
	logger        log.Logger
	store         galenastair.Store
	loop          *control.Loop
	catalogSource *catalogSource
	serverWatcher *serverWatcher
	// configTail holds the configuration records that are passed on to other instances.
	configTail    follow.Tail
	pool          *pool.Pool
	borrower      *quota.Borrower
	accounts      *account.Accounts
	backendClient *httpconn.Pool
	// peerClient has the connections on which requests are forwarded to other instances.
	peerClient *httpconn.Pool
	partition  *partitionWatcher
	directory  *instanceDirectory
	// forwarded counts the requests that other instances have forwarded to this one.
	forwarded    requestCounter
	elector      *lease.Elector
	lease        leaseAdapter
	planner      *planner.Planner
	leaderClient *leaderClient
	streams      *streamOrigins
	permits      *permits
	versions     *softwareVersions
	gateway      *gateway.Gateway
	// admission is nil if the settings have no request yield.
	admission  *admission.Controller
	metrics    *metrics
	storeCalls storeCalls
	// overload closes new connections of callers that this instance can't serve in time.
	overload overload.Guard
	// budget bounds the memory that requests hold; nil without a bound.
	budget *membudget.Budget
	// stopping is set on the signal to stop, draining once no new connections are accepted.
	stopping atomic.Bool
	draining atomic.Bool
	// stopsAt is when a shutdown cancels the requests in progress.
	stopsAt        atomic.Pointer[time.Time]
	callerListener net.Listener
	// callerServerDone is closed once the server of the callers' port has stopped accepting.
	callerServerDone <-chan struct{}
	callerConns      *httpserve.ConnTracker
}

// Option configures a Node.
type Option func(*Node)

// WithLogger sets the logger for decisions and events.
func WithLogger(l log.Logger) Option { return func(n *Node) { n.logger = l } }

// WithDroppedLogLines exports the number of dropped log lines as a metric.
func WithDroppedLogLines(f func() int64) Option {
	return func(n *Node) { n.metrics.registerDroppedLines(f) }
}

// WithBackendDialer replaces the function that opens connections to backend servers.
func WithBackendDialer(dial httpconn.DialFunc) Option {
	return func(n *Node) { n.backendClient = httpconn.NewPool(httpconn.WithDialer(dial)) }
}

// New returns a node that is inactive until Run is called.
func New(s settings.Gateway, opts ...Option) *Node {
	budget := newBudget(s)
	n := &Node{
		budget:   budget,
		settings: s, logger: log.NewNopLogger(), loop: control.NewLoop(), metrics: newMetrics(), callerConns: httpserve.NewConnTracker(),
		backendClient: newConnPool(budget), peerClient: newConnPool(budget), directory: &instanceDirectory{regions: s.Zones},
	}
	for _, o := range opts {
		o(n)
	}
	n.store = platform.NewStore(s.StoreAddress, platform.WithObserver(n.observeStoreCall))
	tolerance := quota.Tolerance{Window: s.Bounds.QuotaWindow, Ratio: s.Bounds.QuotaOver, Slack: s.Bounds.QuotaSlack}
	n.borrower = quota.NewBorrower(tolerance)
	// until a leader or its checkpoint gives a fleet size, other instances may hold the whole quota
	n.borrower.SetFleetSize(0)
	poolOptions := []pool.Option{
		pool.WithLeaveGrace(max(0, s.Bounds.LeaveTimeout-requestTransitTime)),
		pool.WithEvacuationGrace(max(0, s.Bounds.EvacuateTimeout-requestTransitTime)),
		pool.WithRegions(s.Zones),
		pool.WithFleetSize(n.borrower.ReportedFleetSize),
	}
	if s.Load.ServerSpeeds {
		poolOptions = append(poolOptions, pool.WithServerSpeeds())
	}
	n.pool = pool.New(s.AvailabilityZone, poolOptions...)
	n.accounts = account.New(s.PeerAddress, tolerance)
	backend := platform.NewBackendClient(n.backendClient)
	l := lease.New(lease.DefaultTiming(s.Bounds.BetweenHolders, s.Bounds.FencesChecked))
	n.lease = leaseAdapter{l}
	n.versions = n.newSoftwareVersions()
	n.elector = lease.NewElector(n.store, platform.LeaseTopic, l, s.PeerAddress, lease.WithLogger(n.logger),
		lease.WithCheckpointer(n.checkpointer(context.Background())), lease.WithCheckpointer(n.versions.checkpointer()), lease.WithFleetSize(n.borrower.ReportedFleetSize), lease.WithLinkMbps(s.LinkMbps), lease.WithFirstStart(s.FirstStart), lease.WithOnElected(n.onElected))
	plannerOptions := []planner.Option{
		planner.WithLogger(n.logger), planner.WithOrderObserver(n.metrics.countOrder),
		planner.WithRefusedRequests(func(now time.Time) []claim.Crash { return n.leaderClient.poisonTracker.Refused(now) }),
		planner.WithSuspectedParts(func(now time.Time) []claim.PartEvent { return n.leaderClient.partTracker.Suspected(now) }),
	}
	if s.Load.ServerSpeeds {
		plannerOptions = append(plannerOptions, planner.WithServerSpeeds(n.pool.SpeedFactors))
	}
	n.planner = planner.New(string(s.ID), tolerance, backend, n.lease, n.loop, plannerOptions...)
	n.catalogSource = newCatalogSource(n.logger)
	n.serverWatcher = newServerWatcher(n.logger)
	n.partition = newPartitionWatcher(n.pool, n.backendClient, n.otherLeader, n.logger)
	n.leaderClient = n.newLeaderClient()
	n.streams = n.newStreamOrigins()
	n.leaderClient.streams = n.streams
	n.permits = n.newPermits()
	n.gateway = n.newGateway(backend)
	n.metrics.registerGauges(n)
	return n
}

// minHeldExchanges is the least number of requests that fit into the memory budget, however small a
// fraction of the limit is set.
const minHeldExchanges = 64

// newBudget returns the memory budget of the settings, nil if they set none.
func newBudget(s settings.Gateway) *membudget.Budget {
	if s.Load.HeldMemory <= 0 {
		return nil
	}
	limit := galenastair.Bytes(s.Load.HeldMemory * float64(s.MemoryLimit))
	return membudget.New(max(limit, minHeldExchanges*membudget.ExchangeBytes))
}

// newConnPool returns a pool of connections on which requests are sent.
func newConnPool(b *membudget.Budget) *httpconn.Pool {
	if b == nil {
		return httpconn.NewPool()
	}
	return httpconn.NewPool(httpconn.WithSocketBuffers(membudget.SocketBuffer))
}

// otherLeader returns the leader's peer address, empty if it is unknown or this instance.
func (n *Node) otherLeader() string {
	if leader := n.elector.Leader(); leader != n.settings.PeerAddress {
		return leader
	}
	return ""
}

// observeStoreCall records a finished call to the store.
func (n *Node) observeStoreCall(c platform.StoreCall) {
	n.metrics.observeStoreCall(c)
	n.storeCalls.observe(c)
}

func (n *Node) newGateway(backend galenastair.Backend) *gateway.Gateway {
	b := n.settings.Bounds
	opts := []gateway.Option{gateway.WithLogger(n.logger), gateway.WithRecorder(n.metrics)}
	if mode := n.settings.Load.YieldToUrgent; mode == settings.ModeOn || mode == settings.ModeLog {
		n.admission = admission.New()
		opts = append(opts, gateway.WithAdmission(n.admission, mode == settings.ModeLog))
	}
	return gateway.New(gateway.Settings{
		MaxCatalogAge: b.KeyLife - authorisationMargin,
		MaxDenialAge:  b.ApplyTimeout,
		RetryRatio:    b.RetryRatio,
		RetrySlack:    b.RetrySlack,
		FleetSize:     n.borrower.FleetSize,
		LoadsCurrent:  n.leaderClient.loadsCurrent,
		Draining:      n.draining.Load,
		StopsAt:       n.shutdownEnd,
	}, gateway.Dependencies{
		CatalogSource: n.catalogSource,
		Pool:          n.pool,
		Backend:       backend,
		Peers:         n.partition,
		PeerBackend:   platform.NewBackendClient(n.peerClient),
		Quota:         quotas{n.borrower, n.accounts, n.leaderClient},
		Placement:     n.leaderClient,
		Limiter:       newLimiter(n.leaderClient, n.metrics),
		Permits:       n.permits,
		Streams:       n.streams,
		Crashes:       n.leaderClient.crashTracker,
	}, opts...)
}

// yielding returns the number of requests that wait for more urgent ones.
func (n *Node) yielding() int {
	if n.admission == nil {
		return 0
	}
	return n.admission.Waiting()
}

// topics returns the topics that this instance follows. It must not be called before Run.
func (n *Node) topics() []topicState {
	return []topicState{
		{topic: platform.ConfigurationTopic, follower: n.catalogSource.follower, tail: &n.configTail},
		{topic: platform.RegistrationTopic, follower: n.serverWatcher.follower, changesSince: n.serverWatcher.table.Since, applyChanges: n.serverWatcher.applyChanges},
	}
}

// Run serves until the context is done, then shuts down gracefully.
func (n *Node) Run(ctx context.Context) error {
	var g run.Group
	work, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWork()
	n.connectFollowers(work)
	add := func(name string, actor func(context.Context) error) { rungroup.Add(work, &g, n.logger, name, actor) }
	add("control", n.loop.Run)
	add("configuration", n.catalogSource.run)
	add("registrations", n.serverWatcher.follower.Run)
	add("backend servers", n.serverWatcher.run)
	// the lease is released on the signal to stop, so that another instance takes it while this
	// one still serves requests
	add("lease", func(work context.Context) error { return n.runElector(ctx, work) })
	add("planner", n.planner.Run)
	add("exchange", n.leaderClient.run)
	add("connections", n.pruneConnections)
	add("partition", n.partition.run)
	add("streams", n.streams.run)
	add("stream journal", n.streams.journal.run)
	add("permits", n.permits.run)
	add("store calls", n.logStoreCalls)
	if err := n.listen(ctx, &g); err != nil {
		return err
	}
	// the only actor that observes the signal: it shuts down gracefully, and its return stops
	// all other actors
	g.Add(func() error { return n.shutdownOn(ctx) }, func(error) { stopWork() })
	return g.Run()
}

// connectFollowers creates the followers and passes what they read to the components that use it.
func (n *Node) connectFollowers(ctx context.Context) {
	n.catalogSource.onChange = func(c *catalog.Catalog) {
		n.borrower.SetContracts(time.Now(), c)
		n.pool.SetColdStarts(coldStarts(c))
		n.accounts.SetContracts(c)
		n.logPostError(n.planner.SetCatalog(ctx, c))
	}
	n.catalogSource.evacuations.onChange = func(zones map[galenastair.AvailabilityZone]time.Time) {
		n.pool.SetEvacuated(time.Now(), zones)
		n.logPostError(n.planner.SetEvacuated(ctx, slices.Collect(maps.Keys(zones))))
	}
	n.serverWatcher.onUpdate = func(s pool.Server) {
		n.pool.Set(time.Now(), s)
		n.logPostError(n.planner.SetServer(ctx, s))
	}
	n.serverWatcher.onRemove = func(id galenastair.BackendServerID) {
		n.pool.Remove(id)
		n.logPostError(n.planner.RemoveServer(ctx, id))
	}
	n.catalogSource.follower = follow.New(n.store, platform.ConfigurationTopic, recordingTail(&n.configTail, n.catalogSource.apply),
		follow.WithPollTimeoutFunc(func() time.Duration { return n.pollTimeout(n.configPollTimeout()) }),
		follow.WithMinInterval(func() time.Duration { return configReadInterval }),
		follow.WithMaxHintAge(n.maxHintAge()),
		follow.WithIsLeader(n.lease.Holds),
		follow.WithLogger(n.logger))
	n.serverWatcher.follower = follow.New(n.store, platform.RegistrationTopic, n.serverWatcher.apply,
		follow.WithPollTimeoutFunc(func() time.Duration { return n.pollTimeout(registrationPollTimeout) }),
		follow.WithMinInterval(n.registrationReadInterval),
		follow.WithMaxHintAge(n.maxHintAge()),
		follow.WithIsLeader(n.lease.Holds),
		follow.WithLogger(n.logger))
}

func coldStarts(c *catalog.Catalog) map[galenastair.ServiceName]pool.ColdStart {
	out := map[galenastair.ServiceName]pool.ColdStart{}
	c.ForEachService(func(s *catalog.Service) {
		if s.ColdRate > 0 {
			out[s.Name] = pool.ColdStart{Duration: s.ColdStart, Rate: s.ColdRate}
		}
	})
	return out
}

// onElected rereads the topics from the store: changes received from other instances lack the
// fields that only the planner needs.
func (n *Node) onElected(p lease.Predecessor) {
	n.versions.resetTerm(p == lease.NoPredecessor)
	n.catalogSource.follower.Resync()
	n.serverWatcher.follower.Resync()
}

// runElector campaigns for the lease until the signal to stop, and returns once work is done.
func (n *Node) runElector(signal, work context.Context) error {
	ctx, cancel := context.WithCancel(work)
	defer cancel()
	defer context.AfterFunc(signal, cancel)()
	err := n.elector.Run(ctx)
	<-work.Done()
	return err
}

// logPostError logs that a function could not be posted because the control loop has ended. The
// instance is stopping then and does not need the update.
func (n *Node) logPostError(err error) {
	if err != nil {
		n.logger.Log("event", "control loop", "err", err)
	}
}

// pruneInterval is the interval at which expired connections are closed.
const pruneInterval = 2 * time.Second

func (n *Node) pruneConnections(ctx context.Context) error {
	tick := time.NewTicker(pruneInterval)
	defer tick.Stop()
	var logged int64
	var heldLog heldLogger
	for {
		select {
		case now := <-tick.C:
			heldLog.log(n.logger, n.budget.State())
			n.backendClient.CloseExpired(now)
			n.peerClient.CloseExpired(now)
			if closed := n.overload.Closed(); closed > logged {
				n.logger.Log("event", "overload", "closed", closed-logged)
				logged = closed
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
