package config

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"galenastair"
	"galenastair/timer"
)

const (
	// maxIdleReadsPerSecond bounds the reads of all instances together at an idle log. It
	// determines the poll timeout of a read: 1 s at up to 100 instances, 3.7 s at 370.
	maxIdleReadsPerSecond = 100
	// minPollTimeout limits one instance to one read per second of an idle log.
	minPollTimeout = time.Second
	// maxPollTimeout and readTimeoutMargin together bound the time until a silent
	// connection is detected: a change must be in force within 6 s.
	maxPollTimeout = 4 * time.Second
	// minRetryDelay and maxRetryDelay bound the random delay after a failed read. At about
	// one retry per second each, 370 instances do not keep the log from recovering.
	minRetryDelay = 200 * time.Millisecond
	maxRetryDelay = 1500 * time.Millisecond
)

// Follower tails the configuration stream and provides the current view of it.
type Follower struct {
	reader         *reader
	peers          PeerClient
	logger         log.Logger
	clock          galenastair.Clock
	fleetSize      func() int
	tail           *tail
	detector       partitionDetector
	lastReadFailed bool
	view           atomic.Pointer[View]
	logContact     atomic.Pointer[time.Time]
	connectivity   atomic.Pointer[Connectivity]
	lastSnapshot   atomic.Pointer[time.Time]
	halted         atomic.Bool
}

// FollowerOption configures a Follower.
type FollowerOption func(*Follower)

// WithPeers sets the client with which the follower reads records and snapshots from other
// instances while the log is unreachable.
func WithPeers(p PeerClient) FollowerOption { return func(f *Follower) { f.peers = p } }

// WithLogger sets the logger, which receives accepted changes, records that were not
// applied, and failures.
func WithLogger(l log.Logger) FollowerOption { return func(f *Follower) { f.logger = l } }

// WithClock sets the clock that measures the time since the last contact with the log.
func WithClock(c galenastair.Clock) FollowerOption { return func(f *Follower) { f.clock = c } }

// WithFleetSize sets a function that returns how many instances tail the log; the poll
// timeout depends on it.
func WithFleetSize(size func() int) FollowerOption { return func(f *Follower) { f.fleetSize = size } }

// NewFollower returns a follower; call Run to start it.
func NewFollower(l galenastair.Log, opts ...FollowerOption) *Follower {
	f := &Follower{
		reader:    newReader(l),
		peers:     noPeers{},
		logger:    log.NewNopLogger(),
		clock:     galenastair.SystemClock{},
		fleetSize: func() int { return 1 },
		tail:      newTail(),
		detector:  newPartitionDetector(),
	}
	f.reader.onApplied = f.handleApplied
	for _, opt := range opts {
		opt(f)
	}
	return f
}

// View returns the newest configuration, or nil until the follower has caught up for the
// first time.
func (f *Follower) View() *View { return f.view.Load() }

// Ready reports whether the instance may serve requests with the view: the follower has
// caught up once, supports the stream's rules version, and is not partitioned.
func (f *Follower) Ready() bool {
	return f.view.Load() != nil && !f.halted.Load() && f.Connectivity() != Partitioned
}

// Connectivity returns whether this instance reaches the log, itself or by its peers.
func (f *Follower) Connectivity() Connectivity {
	if s := f.connectivity.Load(); s != nil {
		return *s
	}
	return Connected
}

// LogContact returns when the log last answered a read; it is zero before that.
func (f *Follower) LogContact() time.Time {
	if at := f.logContact.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// Run tails the log until the context is cancelled. It must be called at most once.
func (f *Follower) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		err := f.poll(ctx)
		if err == nil || ctx.Err() != nil {
			continue
		}
		_ = level.Warn(f.logger).Log("msg", "cannot read configuration stream", "err", err)
		f.readFromPeers(ctx)
		f.updateConnectivity()
		timer.Wait(ctx, minRetryDelay+rand.N(maxRetryDelay-minRetryDelay))
	}
	return ctx.Err()
}

// poll reads the log once. It does not wait for new records before the first view, nor
// after a failed read: peers are queried between reads, and a log that hangs must not
// delay them.
func (f *Follower) poll(ctx context.Context) error {
	timeout := f.pollTimeout()
	if f.view.Load() == nil || f.lastReadFailed {
		timeout = 0
	}
	before := f.reader.sm
	caughtUp, err := f.reader.read(ctx, timeout)
	f.lastReadFailed = err != nil
	f.halted.Store(f.reader.sm.Halted())
	if f.reader.sm != before {
		f.tail.reset(f.reader.sm.Next())
	}
	if err != nil {
		return err
	}
	now := f.clock.Now()
	f.logContact.Store(&now)
	f.detector.reset()
	f.updateConnectivity()
	// a view taken while catching up would be an outdated configuration
	if caughtUp || f.view.Load() != nil {
		f.publish()
	}
	return nil
}

// pollTimeout returns how long a read waits for new records, so that the idle reads of all
// instances together stay within maxIdleReadsPerSecond.
func (f *Follower) pollTimeout() time.Duration {
	timeout := time.Duration(f.fleetSize()) * time.Second / maxIdleReadsPerSecond
	return min(max(timeout, minPollTimeout), maxPollTimeout)
}

// updateConnectivity re-evaluates the connectivity, which Ready depends on.
func (f *Follower) updateConnectivity() {
	limit := f.pollTimeout() + readTimeoutMargin + maxRetryDelay
	s := f.detector.evaluate(f.clock.Now(), f.LogContact(), limit, f.peers.Members())
	if old := f.Connectivity(); old != s {
		_ = level.Warn(f.logger).Log("msg", "standing towards the log changed", "old", old, "new", s)
	}
	f.connectivity.Store(&s)
}

// publish replaces the view if any records were applied since it was taken.
func (f *Follower) publish() {
	old := f.view.Load()
	if old != nil && old.next == f.reader.sm.Next() {
		return
	}
	f.view.Store(f.reader.sm.View())
	if old != nil {
		close(old.superseded)
	}
}

func (f *Follower) handleApplied(rec galenastair.LogRecord, res ApplyResult) {
	f.tail.add(rec)
	f.recordSnapshotTime(rec, res)
	if res.Outcome == Accepted {
		_ = level.Info(f.logger).Log("msg", "configuration changed", "kind", res.Kind, "offset", res.Offset, "record", res.Record)
		return
	}
	if res.Reason != NoReason {
		_ = level.Warn(f.logger).Log("msg", "configuration record not applied", "verdict", res.String())
	}
}
