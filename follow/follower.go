package follow

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"galenastair"
	"galenastair/boottime"
	"galenastair/timer"
)

const (
	// defaultPollTimeout bounds the age of a confirmation while the topic doesn't change.
	defaultPollTimeout = time.Second
	// minBackoff and maxBackoff bound the exponential backoff while the store fails calls or
	// is unreachable. An instance reconnects within maxBackoff after the store recovers,
	// and the retries of 370 instances take a tenth of the store's capacity.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
	// maxStaleReads is the number of consecutive answers with a topic end below the current
	// offset after which the topic counts as recreated; fewer are treated as stale reads.
	maxStaleReads = 8
)

// ApplyFunc processes a batch of records. If snapshot is true, the batch has the newest record of
// each key, and keys that are not in it no longer exist.
type ApplyFunc func(b galenastair.KeyedBatch, snapshot bool)

// Follower watches one topic.
type Follower struct {
	store       galenastair.Store
	topic       galenastair.Topic
	apply       ApplyFunc
	pollTimeout func() time.Duration
	minInterval func() time.Duration
	// maxHintAge is the age up to which another instance's confirmation replaces a poll of the
	// store. While isLeader returns true, hints replace no polls.
	maxHintAge time.Duration
	isLeader   func() bool
	clock      boottime.Clock
	logger     log.Logger

	confirmedAt   atomic.Int64
	confirmations confirmations
	lastAnswer    atomic.Int64
	// lastFailure is when the last call without a usable answer was sent; 0 if none was.
	lastFailure atomic.Int64
	synced      atomic.Bool
	unavailable atomic.Bool
	// position is the offset to read next, plus one; 0 before the first answer.
	position atomic.Int64
	hints    chan Hint
	// resync requests a new listing.
	resync atomic.Bool
	wake   chan struct{}

	// The fields below are used only by the goroutine of Run.

	next galenastair.Offset
	// listed is false until next is known from a listing, and after Resync or once the store
	// has dropped the records at next.
	listed     bool
	staleReads int
	// lastHint is the time of the newest confirmation from a hint, or of the last listing.
	lastHint boottime.Time
}

// Option configures a Follower.
type Option func(*Follower)

// WithPollTimeout sets how long the store may hold a poll while there is no new record.
func WithPollTimeout(d time.Duration) Option {
	return WithPollTimeoutFunc(func() time.Duration { return d })
}

// WithPollTimeoutFunc is like WithPollTimeout, for a timeout that changes at run time.
func WithPollTimeoutFunc(wait func() time.Duration) Option {
	return func(f *Follower) { f.pollTimeout = wait }
}

// WithMinInterval sets the minimum time between an answer with records and the next call.
// Without it, each change in a burst costs every instance a separate call.
func WithMinInterval(d func() time.Duration) Option { return func(f *Follower) { f.minInterval = d } }

// WithMaxHintAge sets the age up to which a confirmation from another instance replaces a
// poll of the store.
func WithMaxHintAge(d time.Duration) Option { return func(f *Follower) { f.maxHintAge = d } }

// WithIsLeader sets the function that reports whether this instance reads the topic for all
// others. While it returns true, hints replace no polls of the store.
func WithIsLeader(isLeader func() bool) Option { return func(f *Follower) { f.isLeader = isLeader } }

// WithClock replaces the system's boot-time clock.
func WithClock(c boottime.Clock) Option { return func(f *Follower) { f.clock = c } }

// WithLogger sets the logger for lost and regained contact with the store.
func WithLogger(l log.Logger) Option { return func(f *Follower) { f.logger = l } }

// New returns a follower of a topic; Run starts it.
func New(s galenastair.Store, t galenastair.Topic, apply ApplyFunc, opts ...Option) *Follower {
	f := &Follower{store: s, topic: t, apply: apply, clock: boottime.Now, logger: log.NewNopLogger(), hints: make(chan Hint, 1),
		maxHintAge: defaultMaxHintAge, isLeader: func() bool { return false }, wake: make(chan struct{}, 1)}
	WithPollTimeout(defaultPollTimeout)(f)
	WithMinInterval(func() time.Duration { return 0 })(f)
	for _, o := range opts {
		o(f)
	}
	return f
}

// Age returns the time since the store last confirmed that the topic has no newer record;
// false before the first confirmation.
func (f *Follower) Age() (time.Duration, bool) {
	if !f.synced.Load() {
		return 0, false
	}
	return f.clock().Sub(boottime.Time(f.confirmedAt.Load())), true
}

// SinceAnswer returns the time since the store's last known answer, to this instance or, as a
// hint tells, to another; false before the first.
func (f *Follower) SinceAnswer() (time.Duration, bool) {
	at := f.lastAnswer.Load()
	return f.clock().Sub(boottime.Time(at)), at != 0
}

// Unavailable reports whether the last call got no usable answer and no recent hint has
// come since.
func (f *Follower) Unavailable() bool { return f.unavailable.Load() }

// SinceFailure returns the time since the last call without a usable answer was sent: the store
// may have been unavailable until then. False if the store has answered every call.
func (f *Follower) SinceFailure() (time.Duration, bool) {
	at := f.lastFailure.Load()
	return f.clock().Sub(boottime.Time(at)), at != 0
}

// Run watches the topic until the context ends.
func (f *Follower) Run(ctx context.Context) error {
	backoff := minBackoff
	for ctx.Err() == nil {
		if f.waitForHint(ctx) {
			continue
		}
		sent := f.clock()
		records, err := f.poll(ctx, sent)
		if err == nil {
			backoff = minBackoff
			if records > 0 {
				timer.Wait(ctx, f.minInterval())
			}
			continue
		}
		f.lastFailure.Store(int64(sent))
		if ctx.Err() == nil && !f.unavailable.Swap(true) {
			f.logger.Log("event", "dependency lost", "topic", f.topic, "offset", f.next, "err", err)
		}
		timer.Wait(ctx, backoff)
		backoff = min(2*backoff, maxBackoff)
	}
	return ctx.Err()
}

// waitForHint waits for a hint while hints replace polls. It returns false if the store has to
// be polled now.
func (f *Follower) waitForHint(ctx context.Context) bool {
	if f.resync.Swap(false) {
		f.listed = false
	}
	delay := f.pollDelay()
	if delay <= 0 {
		select {
		case h := <-f.hints:
			return f.applyHint(h)
		default:
			return false
		}
	}
	pollTimer := time.NewTimer(delay)
	defer pollTimer.Stop()
	select {
	case h := <-f.hints:
		return f.applyHint(h)
	case <-pollTimer.C:
		return false
	case <-f.wake:
		return true
	case <-ctx.Done():
		return true
	}
}

// Resync makes Run list the newest record of each key again.
func (f *Follower) Resync() {
	f.resync.Store(true)
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// poll makes one call, applies its answer and returns the number of records in it.
func (f *Follower) poll(ctx context.Context, sent boottime.Time) (int, error) {
	batch, err := f.read(ctx)
	switch {
	case errors.Is(err, galenastair.ErrExpired):
		f.listed = false
		f.logger.Log("event", "history gone", "topic", f.topic, "offset", f.next)
		return 0, nil
	case err != nil:
		return 0, err
	}
	snapshot := !f.listed
	if batch.End < f.next && f.countStaleRead(batch.End) {
		return 0, galenastair.ErrStoreUnavailable
	}
	f.staleReads = 0
	if snapshot && f.position.Load() != 0 && batch.Next.Timeline() > f.next.Timeline() {
		// keys may be missing only because the copy is older, as after an outage
		f.lastFailure.Store(int64(sent))
		f.logger.Log("event", "store restored", "topic", f.topic, "timeline", int64(batch.Next.Timeline()), "offset", f.next.Position(), "end", batch.Next.Position())
	}
	f.apply(batch, snapshot)
	f.advance(batch.Next)
	if f.next >= batch.End {
		f.confirm(sent)
		if snapshot {
			// the leader may send the later changes as hints
			f.lastHint = sent
		}
	}
	f.markAvailable(f.clock())
	return len(batch.Records), nil
}

func (f *Follower) read(ctx context.Context) (galenastair.KeyedBatch, error) {
	if !f.listed {
		return f.store.Newest(ctx, f.topic)
	}
	wait := f.pollTimeout()
	if f.unavailable.Load() {
		// without a long poll, a call that doesn't reach the store fails sooner, and the
		// store's recovery is noticed sooner
		wait = 0
	}
	return f.store.Read(ctx, f.topic, f.next, wait)
}

// countStaleRead counts an answer whose end is below the current offset and reports whether to
// discard it. After the store has compacted a topic, an answer may show a state of seconds ago,
// with keys that have been deleted since. A topic whose end stays lower was recreated.
func (f *Follower) countStaleRead(end galenastair.Offset) bool {
	f.staleReads++
	f.logger.Log("event", "stale read", "topic", f.topic, "offset", f.next, "end", end, "count", f.staleReads)
	return f.staleReads < maxStaleReads
}

func (f *Follower) confirm(sent boottime.Time) {
	if int64(sent) > f.confirmedAt.Load() {
		f.confirmedAt.Store(int64(sent))
		f.confirmations.add(f.next, sent)
	}
	f.synced.Store(true)
}
