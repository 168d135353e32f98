package member

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/google/uuid"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"galenastair"
	"galenastair/control"
	"galenastair/peer/memberpb"
)

// PathPrefix is where Handler expects to be mounted among the peers' services.
const PathPrefix = memberpb.MemberPathPrefix

// ticksPerHeartbeat bounds how late a due lapse or renewal is noticed, to a quarter of a heartbeat.
const ticksPerHeartbeat = 4

// Runtime drives a node: it follows the log, talks to peers and publishes the status.
type Runtime struct {
	self           Member
	stream         galenastair.Stream
	log            galenastair.Log
	list           galenastair.InstanceList
	loop           *control.Loop
	clock          galenastair.Clock
	timing         Timing
	logger         log.Logger
	registerer     prometheus.Registerer
	metrics        *metrics
	configuration  func() galenastair.Offset
	folds          []Fold
	onChange       func(*Status)
	snapshotPeriod time.Duration
	transport      func() *http.Transport
	dial           func(address string) memberpb.Member

	peers  *peers
	status atomic.Pointer[Status]

	// What follows belongs to the control loop.
	node      *Node
	snapshots snapshots
	tasks     *errgroup.Group
	tasksCtx  context.Context
	joinedAt  time.Time
}

// New returns the membership of one instance; nothing happens until Run.
func New(l galenastair.Log, opts ...Option) *Runtime {
	r := &Runtime{
		log: l, clock: galenastair.SystemClock{}, timing: DefaultTiming(),
		logger: log.NewNopLogger(), registerer: prometheus.NewRegistry(),
		configuration:  func() galenastair.Offset { return 0 },
		onChange:       func(*Status) {},
		snapshotPeriod: defaultSnapshotPeriod,
		transport:      newTransport,
	}
	r.self.Token = uuid.NewString()
	for _, opt := range opts {
		opt(r)
	}
	if r.loop == nil {
		r.loop = control.NewLoop()
	}
	r.metrics = newMetrics(r.registerer)
	r.peers = newPeers(r.transport, r.dial)
	now := r.clock.Now()
	r.node = NewNode(r.self, r.timing, now)
	r.status.Store(r.node.Status(now))
	return r
}

// Status returns what is known now; it never returns nil.
func (r *Runtime) Status() *Status { return r.status.Load() }

// Handler serves the peers.
func (r *Runtime) Handler() http.Handler {
	return memberpb.NewMemberServer(&server{r})
}

// Announce makes all members refuse a digest for a while.
func (r *Runtime) Announce(ctx context.Context, digest string, period time.Duration) error {
	return r.loop.Post(ctx, func() {
		r.node.Announce(r.clock.Now(), digest, period)
		r.publish()
	})
}

// Run works until the context ends; the control loop must be running.
func (r *Runtime) Run(ctx context.Context) error {
	tasks, ctx := errgroup.WithContext(ctx)
	err := r.loop.Do(ctx, func() { r.tasks, r.tasksCtx = tasks, ctx })
	if err != nil {
		return eris.Wrap(err, "start membership")
	}
	period := r.timing.Heartbeat / ticksPerHeartbeat
	tasks.Go(func() error { return r.loop.Every(ctx, period, r.tick) })
	tasks.Go(func() error { return r.follow(ctx) })
	tasks.Go(func() error { return r.endTasks(ctx) })
	err = tasks.Wait()
	r.peers.close()
	return err
}

// endTasks keeps the group open until the loop starts no more tasks.
func (r *Runtime) endTasks(ctx context.Context) error {
	<-ctx.Done()
	_ = r.loop.Do(context.WithoutCancel(ctx), func() { r.tasks = nil })
	return ctx.Err()
}

// leaveLeases is for how many times a lease a stop waits for its own leave: a log that is down
// for longer shows it too late to be of use, as the watcher declares the member expired.
const leaveLeases = 2

// Leave ends the own membership for good and waits until the log shows it; the
// caller has already stopped all work that needs the lease.
func (r *Runtime) Leave(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, leaveLeases*r.timing.Lease)
	defer cancel()
	if err := r.loop.Do(ctx, r.leave); err != nil {
		return err
	}
	tick := time.NewTicker(r.timing.Heartbeat / ticksPerHeartbeat)
	defer tick.Stop()
	for r.Status().Self.Incarnation != 0 {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return eris.Wrap(ctx.Err(), "leave the ring")
		}
	}
	return nil
}

func (r *Runtime) leave() {
	r.node.Leave(r.clock.Now())
	r.after()
}

// onLoop computes something on the control loop and carries out what follows from
// it. A caller that gives up leaves the loop at work, so the result comes over a
// channel rather than in a variable that both would touch.
func onLoop[T any](ctx context.Context, r *Runtime, f func() T) (T, error) {
	results := make(chan T, 1)
	err := r.loop.Do(ctx, func() {
		results <- f()
		r.after()
	})
	if err != nil {
		var none T
		return none, err
	}
	return <-results, nil
}

func (r *Runtime) tick() {
	now := r.clock.Now()
	r.node.Configured(now, r.configuration())
	r.node.Tick(now)
	r.tickSnapshot(now)
	r.after()
}

// after carries out what the node decided and publishes what it knows.
func (r *Runtime) after() {
	for _, a := range r.node.Take() {
		r.act(a)
	}
	r.publish()
}

func (r *Runtime) publish() {
	now := r.clock.Now()
	old, fresh := r.status.Load(), r.node.Status(now)
	r.status.Store(fresh)
	r.metrics.show(fresh, now)
	if old.View.Epoch == fresh.View.Epoch && old.Self.Incarnation == fresh.Self.Incarnation {
		return
	}
	r.logChange(old, fresh)
	r.peers.keep(fresh.View.Ring)
	r.onChange(fresh)
}

func (r *Runtime) logChange(old, fresh *Status) {
	if old.Self.Incarnation != fresh.Self.Incarnation {
		r.joinedAt = r.clock.Now()
	}
	_ = level.Info(r.logger).Log("msg", "membership changed", "epoch", fresh.View.Epoch,
		"members", len(fresh.View.Ring), "incarnation", fresh.Self.Incarnation,
		"leader", fresh.Leader.ID, "fence", fresh.Fence)
}
