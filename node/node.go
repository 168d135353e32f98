package node

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/oklog/run"

	"galenastair"
	"galenastair/account"
	"galenastair/catalog"
	"galenastair/claim"
	"galenastair/control"
	"galenastair/follow"
	"galenastair/gateway"
	"galenastair/httpclient"
	"galenastair/httpconn"
	"galenastair/httpserve"
	"galenastair/lease"
	"galenastair/peer/planning"
	"galenastair/planner"
	"galenastair/platform"
	"galenastair/pool"
	"galenastair/quota"
	"galenastair/ratelimit"
	"galenastair/rungroup"
	"galenastair/settings"
)

const (
	// viewMargin is kept of the time that a withdrawn key may still be admitted, for
	// the way from the check to the backend server.
	viewMargin = 300 * time.Millisecond
	// viewWait and serverWait are the long polls' waits. The first bounds the age of a
	// view in quiet times; the second how long a silent connection hides a leaving server.
	viewWait   = 1700 * time.Millisecond
	serverWait = 2 * time.Second
	// plannerPace is the least time between two reads of the instance that reads for all.
	plannerPace = 400 * time.Millisecond
	// hintMargin is kept of the time in which a change must be in force, for the call that an
	// instance makes when the leader's word has grown old.
	hintMargin = 400 * time.Millisecond
	// leaderWait is how long a poll of the instance that reads for all waits: it bounds the
	// age of its word in quiet times.
	leaderWait = 450 * time.Millisecond
	// leastPoll is for a platform whose bounds leave no time at all.
	leastPoll = 100 * time.Millisecond
	// viewPace and serverPace gather changes that come in a row into one call; they stay
	// well below the times in which a version, or a server's leaving, must be in force.
	viewPace   = 150 * time.Millisecond
	serverPace = time.Second
	// leaveLag is how long a request for a leaving server may be on its way here.
	leaveLag = 600 * time.Millisecond
	// poisonTrials and poisonTerm: a request that has broken three connections of
	// backend servers without an answer is refused for a while.
	poisonTrials = 3
	poisonTerm   = 20 * time.Second
)

// Node is one instance on the users' platform.
type Node struct {
	settings settings.Gateway
	logger   log.Logger
	store    galenastair.Store
	loop     *control.Loop
	views    *views
	servers  *servers
	// viewTail is what is passed on of the configuration.
	viewTail   follow.Tail
	pool       *pool.Pool
	share      *quota.Share
	accounts   *account.Accounts
	backends   *httpconn.Client
	elector    *lease.Elector
	lease      heldLease
	planner    *planner.Planner
	exchange   *exchange
	gateway    *gateway.Gateway
	metrics    *metrics
	storeCalls storeCalls
	// stopping is set by the signal, closing when new connections have ended.
	stopping atomic.Bool
	closing  atomic.Bool
	callers  net.Listener
	// callersServed is closed when the callers' port accepts no more.
	callersServed <-chan struct{}
	conns         *httpserve.Conns
}

// Option varies a Node.
type Option func(*Node)

// WithLogger says where decisions and events are logged.
func WithLogger(l log.Logger) Option { return func(n *Node) { n.logger = l } }

// WithDropped says how many log lines were left out, for the metrics.
func WithDropped(f func() int64) Option { return func(n *Node) { n.metrics.droppedLines(f) } }

// New returns a node that does nothing until Run.
func New(s settings.Gateway, opts ...Option) *Node {
	n := &Node{settings: s, logger: log.NewNopLogger(), loop: control.NewLoop(), metrics: newMetrics(), conns: httpserve.NewConns()}
	for _, o := range opts {
		o(n)
	}
	n.store = platform.NewStore(s.StoreAddress, platform.WithObserver(n.observeStore))
	terms := quota.Terms{Window: s.Bounds.QuotaWindow, Over: s.Bounds.QuotaOver, Slack: s.Bounds.QuotaSlack}
	n.share = quota.NewShare(terms)
	// until a leader or its note tells, the others may hold all parts
	n.share.SetFleet(0)
	n.pool = pool.New(s.AvailabilityZone, pool.WithLeaveGrace(max(0, s.Bounds.LeaveTimeout-leaveLag)), pool.WithFleet(n.share.Told))
	n.accounts = account.New(s.PeerAddress, terms)
	n.backends = httpconn.NewClient()
	backend := platform.NewReplicas(n.backends)
	l := lease.New(lease.DefaultBounds(s.Bounds.BetweenHolders, s.Bounds.FencesChecked))
	n.lease = heldLease{l}
	n.elector = lease.NewElector(n.store, platform.LeaseTopic, l, s.PeerAddress, lease.WithLogger(n.logger),
		lease.WithNote(n.note(context.Background())), lease.WithFleet(n.share.Told), lease.WithLink(s.LinkMbps), lease.WithElected(n.elected))
	n.planner = planner.New(string(s.ID), terms, backend, n.lease, n.loop,
		planner.WithLogger(n.logger), planner.WithOrdered(n.metrics.ordered))
	n.views = newViews(n.logger)
	n.servers = newServers(n.logger)
	n.exchange = n.newExchange()
	n.gateway = n.newGateway(backend)
	n.metrics.watch(n)
	return n
}

// observeStore counts a call to the store.
func (n *Node) observeStore(c platform.StoreCall) {
	n.metrics.storeCalled(c)
	n.storeCalls.observe(c)
}

func (n *Node) newExchange() *exchange {
	x := &exchange{
		self:     n.settings.ID,
		elector:  n.elector,
		client:   planning.NewClient(&http.Client{Transport: httpclient.NewTransport()}),
		local:    n.planner,
		pool:     n.pool,
		share:    n.share,
		accounts: n.accounts,
		shares:   ratelimit.NewShares(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		stopping: n.stopping.Load,
		logger:   n.logger,
		address:  n.settings.PeerAddress,
		zone:     n.settings.AvailabilityZone,
		demands:  map[galenastair.ModelName]time.Duration{},
		topics:   n.topics,
	}
	x.poison = claim.NewPoison(x.poisoned, claim.WithTrials(poisonTrials, poisonTerm))
	return x
}

func (n *Node) newGateway(backend galenastair.Backend) *gateway.Gateway {
	b := n.settings.Bounds
	return gateway.New(gateway.Settings{
		ViewLife:   b.KeyLife - viewMargin,
		RetryRatio: b.RetryRatio,
		RetrySlack: b.RetrySlack,
		Fleet:      n.share.Fleet,
		Closing:    n.closing.Load,
	}, gateway.Ports{
		Views:     n.views,
		Pool:      n.pool,
		Backend:   backend,
		Quota:     quotas{n.share, n.accounts, n.exchange},
		Placement: n.exchange,
		Limits:    newLimits(n.exchange, n.metrics),
		Poison:    n.exchange.poison,
	}, gateway.WithLogger(n.logger), gateway.WithRecorder(n.metrics))
}

// hintLife is how old the store's word may be by which this instance goes without asking the
// store itself.
func (n *Node) hintLife() time.Duration {
	return max(leastPoll, min(n.settings.Bounds.ApplyTimeout, n.settings.Bounds.LeaveTimeout)-hintMargin)
}

// pollWait is how long a poll waits. All others go by the age that the leader tells them, so
// that it looks more often.
func (n *Node) pollWait(usual time.Duration) time.Duration {
	if n.lease.Holds() {
		return leaderWait
	}
	return usual
}

// serverPace is the least time between two reads of the registrations; the instance that
// plans reads for all, and what it tells is on its way for an exchange more.
func (n *Node) serverPace() time.Duration {
	if n.lease.Holds() {
		return plannerPace
	}
	return serverPace
}

// topics are what this instance reads of the store; none before Run.
func (n *Node) topics() []followed {
	return []followed{
		{topic: platform.ConfigurationTopic, follower: n.views.follower, tail: &n.viewTail},
		{topic: platform.RegistrationTopic, follower: n.servers.follower, since: n.servers.table.Since, apply: n.servers.applyChanges},
	}
}

// Run serves until the context ends, then stops without cutting a request.
func (n *Node) Run(ctx context.Context) error {
	var g run.Group
	work, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWork()
	n.connect(work)
	add := func(name string, part func(context.Context) error) { rungroup.Add(work, &g, n.logger, name, part) }
	add("control", n.loop.Run)
	add("configuration", n.views.run)
	add("registrations", n.servers.follower.Run)
	add("backend servers", n.servers.run)
	// the lease is released as soon as the signal comes, for another to take it while this
	// instance still serves
	add("lease", func(work context.Context) error { return n.keepLease(ctx, work) })
	add("planner", n.planner.Run)
	add("exchange", n.exchange.run)
	add("connections", n.prune)
	add("store calls", n.logStoreCalls)
	if err := n.listen(&g); err != nil {
		return err
	}
	// the one actor that sees the signal: it stops serving in order, then the others
	// end because it has
	g.Add(func() error { return n.stopOn(ctx) }, func(error) { stopWork() })
	return g.Run()
}

// connect ties what is read from the store to what uses it.
func (n *Node) connect(ctx context.Context) {
	n.views.changed = func(c *catalog.Catalog) {
		n.share.SetContracts(time.Now(), c)
		n.accounts.SetContracts(c)
		n.post(n.planner.SetCatalog(ctx, c))
	}
	n.servers.set = func(s pool.Server) {
		n.pool.Set(time.Now(), s)
		n.post(n.planner.SetServer(ctx, s))
	}
	n.servers.remove = func(id galenastair.BackendServerID) {
		n.pool.Remove(id)
		n.post(n.planner.RemoveServer(ctx, id))
	}
	n.views.follower = follow.New(n.store, platform.ConfigurationTopic, noting(&n.viewTail, n.views.apply),
		follow.WithWaits(func() time.Duration { return n.pollWait(viewWait) }),
		follow.WithPace(func() time.Duration { return viewPace }),
		follow.WithHintLife(n.hintLife()),
		follow.WithLeads(n.lease.Holds),
		follow.WithLogger(n.logger))
	n.servers.follower = follow.New(n.store, platform.RegistrationTopic, n.servers.apply,
		follow.WithWaits(func() time.Duration { return n.pollWait(serverWait) }),
		follow.WithPace(n.serverPace),
		follow.WithHintLife(n.hintLife()),
		follow.WithLeads(n.lease.Holds),
		follow.WithLogger(n.logger))
}

// elected has all registrations read: what others tell leaves out what only the planner needs.
func (n *Node) elected() {
	n.views.follower.Refresh()
	n.servers.follower.Refresh()
}

// keepLease runs for the lease until the instance is told to stop, and ends with the rest.
func (n *Node) keepLease(signal, work context.Context) error {
	both, cancel := context.WithCancel(work)
	defer cancel()
	defer context.AfterFunc(signal, cancel)()
	err := n.elector.Run(both)
	<-work.Done()
	return err
}

// post logs that the control loop has ended; nothing is lost by it then.
func (n *Node) post(err error) {
	if err != nil {
		n.logger.Log("event", "control loop", "err", err)
	}
}

// prunePeriod is how often expired connections are closed.
const prunePeriod = 2 * time.Second

func (n *Node) prune(ctx context.Context) error {
	tick := time.NewTicker(prunePeriod)
	defer tick.Stop()
	for {
		select {
		case now := <-tick.C:
			n.backends.Prune(now)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
