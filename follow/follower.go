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
	// defaultWait bounds how old a confirmation gets in quiet times.
	defaultWait = time.Second
	// firstPause and lastPause space the calls to a store that refuses or is away: an
	// instance is back in touch within the last one, and 370 of them make a tenth of
	// what the store stands.
	firstPause = 100 * time.Millisecond
	lastPause  = 500 * time.Millisecond
	// rewound is how many answers in a row may show a topic shorter than what was read
	// before it is taken for a new beginning rather than a late answer.
	rewound = 8
)

// Apply takes in what was read; whole says that keys not in the batch are gone.
type Apply func(b galenastair.KeyedBatch, whole bool)

// Follower follows one topic.
type Follower struct {
	store galenastair.Store
	topic galenastair.Topic
	apply Apply
	wait  func() time.Duration
	pace  func() time.Duration
	// hintLife is how old the store's word may be by which this follower goes without asking
	// the store itself; leads says that it goes by no hints at all.
	hintLife time.Duration
	leads    func() bool
	clock    boottime.Clock
	logger   log.Logger

	confirmed atomic.Int64
	history   confirmations
	answered  atomic.Int64
	// unanswered is when the last call that got no usable answer was sent; 0 if all did.
	unanswered atomic.Int64
	started    atomic.Bool
	away       atomic.Bool
	// position is the offset to go on from, plus one.
	position atomic.Int64
	hints    chan Hint
	// refresh says that all is to be read anew.
	refresh atomic.Bool
	woken   chan struct{}

	// owned by Run
	from    galenastair.Offset
	know    bool
	shorter int
	// hinted is as of when the last useful hint was.
	hinted boottime.Time
}

// Option varies a Follower.
type Option func(*Follower)

// WithWait sets how long a poll waits for a record.
func WithWait(d time.Duration) Option { return WithWaits(func() time.Duration { return d }) }

// WithWaits is WithWait for a time that changes.
func WithWaits(wait func() time.Duration) Option { return func(f *Follower) { f.wait = wait } }

// WithPace sets the least time from records to the next call. Without it, each of many
// changes in a row costs every instance a call of its own.
func WithPace(pace func() time.Duration) Option { return func(f *Follower) { f.pace = pace } }

// WithHintLife sets how old the store's word may be, as told by another instance, that spares
// the store a call.
func WithHintLife(d time.Duration) Option { return func(f *Follower) { f.hintLife = d } }

// WithLeads says when this follower reads for all others, and goes by no hints.
func WithLeads(leads func() bool) Option { return func(f *Follower) { f.leads = leads } }

// WithClock replaces the machine's clock.
func WithClock(c boottime.Clock) Option { return func(f *Follower) { f.clock = c } }

// WithLogger says where lost and regained contact is logged.
func WithLogger(l log.Logger) Option { return func(f *Follower) { f.logger = l } }

// New returns a follower that does nothing until Run.
func New(s galenastair.Store, t galenastair.Topic, apply Apply, opts ...Option) *Follower {
	f := &Follower{store: s, topic: t, apply: apply, clock: boottime.Now, logger: log.NewNopLogger(), hints: make(chan Hint, 1),
		hintLife: defaultHintLife, leads: func() bool { return false }, woken: make(chan struct{}, 1)}
	WithWait(defaultWait)(f)
	WithPace(func() time.Duration { return 0 })(f)
	for _, o := range opts {
		o(f)
	}
	return f
}

// Age returns how long ago the store confirmed that nothing newer stands in the
// topic; false before it ever did.
func (f *Follower) Age() (time.Duration, bool) {
	if !f.started.Load() {
		return 0, false
	}
	return f.clock().Sub(boottime.Time(f.confirmed.Load())), true
}

// Silence returns how long ago the store's last answer came; false before the first.
func (f *Follower) Silence() (time.Duration, bool) {
	at := f.answered.Load()
	return f.clock().Sub(boottime.Time(at)), at != 0
}

// Away says whether the last call got no usable answer.
func (f *Follower) Away() bool { return f.away.Load() }

// SinceUnanswered returns how long ago the last call that got no usable answer was sent: the
// store may have been away until then. False if it has answered every call.
func (f *Follower) SinceUnanswered() (time.Duration, bool) {
	at := f.unanswered.Load()
	return f.clock().Sub(boottime.Time(at)), at != 0
}

// Run follows until the context ends.
func (f *Follower) Run(ctx context.Context) error {
	pause := firstPause
	for ctx.Err() == nil {
		if f.rest(ctx) {
			continue
		}
		sent := f.clock()
		got, err := f.round(ctx, sent)
		if err == nil {
			pause = firstPause
			if got > 0 {
				timer.Wait(ctx, f.pace())
			}
			continue
		}
		f.unanswered.Store(int64(sent))
		if ctx.Err() == nil && !f.away.Swap(true) {
			f.logger.Log("event", "dependency lost", "topic", f.topic, "offset", f.from, "err", err)
		}
		timer.Wait(ctx, pause)
		pause = min(2*pause, lastPause)
	}
	return ctx.Err()
}

// rest waits for a hint while hints spare the store a call; false if it is to be asked.
func (f *Follower) rest(ctx context.Context) bool {
	if f.refresh.Swap(false) {
		f.know = false
	}
	spared := f.spared()
	if spared <= 0 {
		select {
		case h := <-f.hints:
			return f.take(h)
		default:
			return false
		}
	}
	next := time.NewTimer(spared)
	defer next.Stop()
	select {
	case h := <-f.hints:
		return f.take(h)
	case <-next.C:
		return false
	case <-f.woken:
		return true
	case <-ctx.Done():
		return true
	}
}

// Refresh has the newest record of each key read again, as by one that has just started.
func (f *Follower) Refresh() {
	f.refresh.Store(true)
	select {
	case f.woken <- struct{}{}:
	default:
	}
}

// round makes one call, takes in its answer and returns how many records came.
func (f *Follower) round(ctx context.Context, sent boottime.Time) (int, error) {
	batch, err := f.ask(ctx)
	switch {
	case errors.Is(err, galenastair.ErrExpired):
		f.know = false
		f.logger.Log("event", "history gone", "topic", f.topic, "offset", f.from)
		return 0, nil
	case err != nil:
		return 0, err
	}
	whole := !f.know
	if batch.End < f.from && f.stale() {
		return 0, galenastair.ErrStoreUnavailable
	}
	f.shorter = 0
	f.apply(batch, whole)
	f.moveTo(batch.Next)
	if f.from >= batch.End {
		f.confirm(sent)
		if whole {
			// others that read for all may tell the rest
			f.hinted = sent
		}
	}
	f.heard(f.clock())
	return len(batch.Records), nil
}

func (f *Follower) ask(ctx context.Context) (galenastair.KeyedBatch, error) {
	if !f.know {
		return f.store.Newest(ctx, f.topic)
	}
	wait := f.wait()
	if f.away.Load() {
		// a call that the store never gets ends sooner, and the return shows sooner
		wait = 0
	}
	return f.store.Follow(ctx, f.topic, f.from, wait)
}

// stale counts an answer that knows less than what was read before: after the store has dropped
// its history, one may come from a state of seconds ago, with keys that have been withdrawn. A
// topic that stays shorter was begun anew.
func (f *Follower) stale() bool {
	f.shorter++
	return f.shorter < rewound
}

func (f *Follower) confirm(sent boottime.Time) {
	if int64(sent) > f.confirmed.Load() {
		f.confirmed.Store(int64(sent))
		f.history.add(f.from, sent)
	}
	f.started.Store(true)
}
