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

// PathPrefix is the path under which the peers' HTTP server must mount Handler.
const PathPrefix = memberpb.MemberPathPrefix

// ticksPerHeartbeat limits the delay until a due Lapse or renewal is noticed to a quarter of the
// heartbeat interval.
const ticksPerHeartbeat = 4

// Runtime runs a Node: it reads the log, calls the peers and publishes the status.
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
	stateMachines  []StateMachine
	onChange       func(*Status)
	snapshotPeriod time.Duration
	transport      func() *http.Transport
	dial           func(address string) memberpb.Member

	peers  *peers
	status atomic.Pointer[Status]

	// The fields below are accessed only on the control loop.
	node      *Node
	snapshots snapshotTracker
	tasks     *errgroup.Group
	tasksCtx  context.Context
	joinedAt  time.Time
}

// New returns the membership runtime of one instance. It is idle until Run is called.
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

// Status returns the current status; it is never nil.
func (r *Runtime) Status() *Status { return r.status.Load() }

// Handler returns the HTTP handler for calls from peers.
func (r *Runtime) Handler() http.Handler {
	return memberpb.NewMemberServer(&server{r})
}

// RefuseDigest makes all members refuse a digest for a while.
func (r *Runtime) RefuseDigest(ctx context.Context, digest string, period time.Duration) error {
	return r.loop.Post(ctx, func() {
		r.node.RefuseDigest(r.clock.Now(), digest, period)
		r.publish()
	})
}

// Run runs the membership protocol until the context ends. The control loop must be running.
func (r *Runtime) Run(ctx context.Context) error {
	tasks, ctx := errgroup.WithContext(ctx)
	err := r.loop.Do(ctx, func() { r.tasks, r.tasksCtx = tasks, ctx })
	if err != nil {
		return eris.Wrap(err, "start membership")
	}
	period := r.timing.HeartbeatInterval / ticksPerHeartbeat
	tasks.Go(func() error { return r.loop.Every(ctx, period, r.tick) })
	tasks.Go(func() error { return r.follow(ctx) })
	tasks.Go(func() error { return r.closeTasks(ctx) })
	err = tasks.Wait()
	r.peers.close()
	return err
}

// closeTasks keeps the group open until the control loop can no longer start tasks.
func (r *Runtime) closeTasks(ctx context.Context) error {
	<-ctx.Done()
	_ = r.loop.Do(context.WithoutCancel(ctx), func() { r.tasks = nil })
	return ctx.Err()
}

// leaveTimeoutLeases is how long Leave waits, in lease durations, until its record has been applied.
// If the log is down for longer, waiting is of no use, since the watcher declares the member lapsed.
const leaveTimeoutLeases = 2

// Leave ends this instance's membership for good and waits until the record has been applied. The
// caller must have stopped all work that needs the lease.
func (r *Runtime) Leave(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeoutLeases*r.timing.LeaseDuration)
	defer cancel()
	if err := r.loop.Do(ctx, r.leave); err != nil {
		return err
	}
	tick := time.NewTicker(r.timing.HeartbeatInterval / ticksPerHeartbeat)
	defer tick.Stop()
	for r.Status().Self.Incarnation != 0 {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return eris.Wrap(ctx.Err(), "wait until the leave record is applied")
		}
	}
	return nil
}

func (r *Runtime) leave() {
	r.node.Leave(r.clock.Now())
	r.flushActions()
}

// runOnLoop runs f on the control loop and then executes the resulting actions. The loop may still
// be running f when the caller's context ends, so the result is passed over a channel instead of a
// shared variable.
func runOnLoop[T any](ctx context.Context, r *Runtime, f func() T) (T, error) {
	results := make(chan T, 1)
	err := r.loop.Do(ctx, func() {
		results <- f()
		r.flushActions()
	})
	if err != nil {
		var none T
		return none, err
	}
	return <-results, nil
}

func (r *Runtime) tick() {
	now := r.clock.Now()
	r.node.ObserveConfiguration(now, r.configuration())
	r.node.Tick(now)
	r.tickSnapshot(now)
	r.flushActions()
}

// flushActions executes the node's pending actions and publishes its status.
func (r *Runtime) flushActions() {
	for _, a := range r.node.DrainActions() {
		r.execute(a)
	}
	r.publish()
}

func (r *Runtime) publish() {
	now := r.clock.Now()
	old, current := r.status.Load(), r.node.Status(now)
	r.status.Store(current)
	r.metrics.update(current, now)
	if old.View.Epoch == current.View.Epoch && old.Self.Incarnation == current.Self.Incarnation {
		return
	}
	r.logChange(old, current)
	r.peers.retain(current.View.Ring)
	r.onChange(current)
}

func (r *Runtime) logChange(old, current *Status) {
	if old.Self.Incarnation != current.Self.Incarnation {
		r.joinedAt = r.clock.Now()
	}
	_ = level.Info(r.logger).Log("msg", "membership changed", "epoch", current.View.Epoch,
		"members", len(current.View.Ring), "incarnation", current.Self.Incarnation,
		"leader", current.Leader.ID, "fence", current.Fence)
}
