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
	// readsPerSecond is what all instances together may ask of an idle log. It sets
	// how long each read waits there: 1 s at up to 100 instances, 3.7 s at 370.
	readsPerSecond = 100
	// minWait bounds the reads of one instance at an idle log to one a second.
	minWait = time.Second
	// maxWait bounds, with readSlack, how long a silent connection goes unnoticed:
	// a change must be in force within 6 s.
	maxWait = 4 * time.Second
	// retryMin and retryMax space the reads of a log that refuses: 370 instances
	// that retry about once a second do not keep it from coming back.
	retryMin = 200 * time.Millisecond
	retryMax = 1500 * time.Millisecond
)

// Follower tails the configuration stream and publishes a view of it.
type Follower struct {
	reader *reader
	peers  Peers
	logger log.Logger
	clock  galenastair.Clock
	fleet  func() int
	tail   *tail
	reach  reach
	// lost says that the last read failed.
	lost     bool
	view     atomic.Pointer[View]
	contact  atomic.Pointer[time.Time]
	standing atomic.Pointer[Standing]
	snapshot atomic.Pointer[time.Time]
	halted   atomic.Bool
}

// FollowerOption changes a follower that is being made.
type FollowerOption func(*Follower)

// WithPeers lets the follower take records and folds from other instances while the log is out of reach.
func WithPeers(p Peers) FollowerOption { return func(f *Follower) { f.peers = p } }

// WithLogger sets where the follower reports what it could not apply.
func WithLogger(l log.Logger) FollowerOption { return func(f *Follower) { f.logger = l } }

// WithClock sets the clock by which the follower dates its contact with the log.
func WithClock(c galenastair.Clock) FollowerOption { return func(f *Follower) { f.clock = c } }

// WithFleet tells the follower how many instances tail the log, of which its reads take their share.
func WithFleet(size func() int) FollowerOption { return func(f *Follower) { f.fleet = size } }

// NewFollower returns a follower that does nothing until Run.
func NewFollower(l galenastair.Log, opts ...FollowerOption) *Follower {
	f := &Follower{
		reader: newReader(l),
		peers:  noPeers{},
		logger: log.NewNopLogger(),
		clock:  galenastair.SystemClock{},
		fleet:  func() int { return 1 },
		tail:   newTail(),
		reach:  newReach(),
	}
	f.reader.folded = f.record
	for _, opt := range opts {
		opt(f)
	}
	return f
}

// View returns the newest configuration, or nil until the follower has first caught up.
func (f *Follower) View() *View { return f.view.Load() }

// Ready tells whether the view may be served by: it has caught up once, in rules that this program knows, and is not cut off.
func (f *Follower) Ready() bool {
	return f.view.Load() != nil && !f.halted.Load() && f.Standing() != CutOff
}

// Standing returns what is known of the log now.
func (f *Follower) Standing() Standing {
	if s := f.standing.Load(); s != nil {
		return *s
	}
	return InTouch
}

// LogContact returns when the log last answered a read; it is zero before the first answer.
func (f *Follower) LogContact() time.Time {
	if at := f.contact.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// Run tails the log until the context ends; it may be called once.
func (f *Follower) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		err := f.step(ctx)
		if err == nil || ctx.Err() != nil {
			continue
		}
		_ = level.Warn(f.logger).Log("msg", "the configuration stream cannot be read", "err", err)
		f.askPeers(ctx)
		f.judge()
		timer.Wait(ctx, retryMin+rand.N(retryMax-retryMin))
	}
	return ctx.Err()
}

// step makes one read; before the first view it does not wait for records, nor
// where the last read failed: peers are asked in between, and must not wait for
// a log that hangs.
func (f *Follower) step(ctx context.Context) error {
	wait := f.wait()
	if f.view.Load() == nil || f.lost {
		wait = 0
	}
	before := f.reader.fold
	caughtUp, err := f.reader.read(ctx, wait)
	f.lost = err != nil
	f.halted.Store(f.reader.fold.Halted())
	if f.reader.fold != before {
		f.tail.reset(f.reader.fold.Next())
	}
	if err != nil {
		return err
	}
	now := f.clock.Now()
	f.contact.Store(&now)
	f.reach.reset()
	f.judge()
	// a view in the middle of catching up would be an old configuration
	if caughtUp || f.view.Load() != nil {
		f.publish()
	}
	return nil
}

// wait returns the instance's share of the reads that the log may be asked.
func (f *Follower) wait() time.Duration {
	share := time.Duration(f.fleet()) * time.Second / readsPerSecond
	return min(max(share, minWait), maxWait)
}

// judge decides anew whether the instance may serve by its view.
func (f *Follower) judge() {
	limit := f.wait() + readSlack + retryMax
	s := f.reach.judge(f.clock.Now(), f.LogContact(), limit, f.peers.Members())
	if old := f.Standing(); old != s {
		_ = level.Warn(f.logger).Log("msg", "standing towards the log changed", "old", old, "new", s)
	}
	f.standing.Store(&s)
}

// publish replaces the view, unless nothing was folded since.
func (f *Follower) publish() {
	old := f.view.Load()
	if old != nil && old.next == f.reader.fold.Next() {
		return
	}
	f.view.Store(f.reader.fold.View())
	if old != nil {
		close(old.superseded)
	}
}

func (f *Follower) record(rec galenastair.LogRecord, v Verdict) {
	f.tail.add(rec)
	f.noteSnapshot(rec, v)
	if v.Outcome == Accepted {
		_ = level.Info(f.logger).Log("msg", "configuration changed", "kind", v.Kind, "offset", v.Offset, "record", v.Record)
		return
	}
	if v.Reason != NoReason {
		_ = level.Warn(f.logger).Log("msg", "configuration record not applied", "verdict", v.String())
	}
}
