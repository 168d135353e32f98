package lease

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-kit/log"

	"galenastair"
	"galenastair/boottime"
	"galenastair/timer"
)

const (
	// renewPeriod lets one renewal be lost and the next still keep the lease.
	renewPeriod = 450 * time.Millisecond
	// ttl is from a renewal to when another instance may take the lease. It exceeds the time
	// for which the leader goes by its lease by more than an answer takes to arrive.
	ttl = 1600 * time.Millisecond
	// leaseKey is the record's key in its topic.
	leaseKey = "Leader"
)

// Record is the newest entry of the lease.
type Record struct {
	// Offset is -1 while the topic is empty.
	Offset galenastair.Offset `json:"-"`
	// Leader is its peer address; empty after a release.
	Leader string
	Fence  galenastair.Fence
	// Fleet is how many instances the leader knew of.
	Fleet int
}

// Renewal is the newest renewal that an instance knows of.
type Renewal struct {
	Offset galenastair.Offset
	// Age is how long ago it was acknowledged at least; 0 is always safe.
	Age time.Duration
}

// Elector takes and renews the lease, and knows who leads.
type Elector struct {
	store  galenastair.Store
	topic  galenastair.Topic
	lease  *Lease
	member string
	clock  boottime.Clock
	logger log.Logger
	note   Note
	fleet  func() int
	// elected is told of each term that begins.
	elected func()
	// mbps is what this instance's link carries; 0 is not known.
	mbps float64
	// started is closed once the store was asked for the record.
	started chan struct{}

	mu    sync.Mutex
	known Record
	// read says that the store has answered what the record is.
	read bool
	// expires is when the lease of known ends, unless it was renewed unknown to this instance.
	expires boottime.Time
	// learned is when the store was last read.
	learned boottime.Time
	// renewed is when this instance's own last renewal was acknowledged.
	renewed boottime.Time
	// answered is when the leader last answered a call; denied says that it does not lead any
	// more by its own word.
	answered boottime.Time
	denied   bool
	// suspected says that the leader has not answered since, and inspect that the record is to
	// be read for it.
	suspected, inspect bool
	wake               chan struct{}

	// owned by Run
	held    bool
	backoff time.Duration
	noting  noting
}

// Option varies an Elector.
type Option func(*Elector)

// WithLogger says where changes of the leader are logged.
func WithLogger(l log.Logger) Option { return func(e *Elector) { e.logger = l } }

// WithClock replaces the machine's clock.
func WithClock(c boottime.Clock) Option { return func(e *Elector) { e.clock = c } }

// WithFleet says how many instances there are; 0 is not known.
func WithFleet(fleet func() int) Option { return func(e *Elector) { e.fleet = fleet } }

// WithElected sets what is told of each term of this instance that begins.
func WithElected(f func()) Option { return func(e *Elector) { e.elected = f } }

// NewElector returns an elector for a member, which is named by its peer address so that
// whoever reads the leader's name can call it; the topic is for the lease alone.
func NewElector(s galenastair.Store, topic galenastair.Topic, l *Lease, member string, opts ...Option) *Elector {
	e := &Elector{
		store:   s,
		topic:   topic,
		lease:   l,
		member:  member,
		clock:   boottime.Now,
		logger:  log.NewNopLogger(),
		note:    Note{Write: func() []byte { return nil }, Written: func([]byte) {}, Read: func([]byte, bool) {}},
		fleet:   func() int { return 1 },
		elected: func() {},
		started: make(chan struct{}),
		known:   Record{Offset: -1},
		wake:    make(chan struct{}, 1),
	}
	for _, o := range opts {
		o(e)
	}
	return e
}

// Run follows, takes and renews the lease until the context ends, then releases it.
func (e *Elector) Run(ctx context.Context) error {
	timer.Wait(ctx, e.linkDelay()+rand.N(startJitter))
	e.load(ctx)
	if known := e.Known(); known.Fleet > 0 && known.Fleet <= MostPresuming {
		e.readNote(ctx, true)
	}
	close(e.started)
	for ctx.Err() == nil {
		if e.held {
			e.renew(ctx)
			timer.Wait(ctx, renewPeriod)
			continue
		}
		e.follow(ctx)
	}
	if e.held {
		e.release(context.WithoutCancel(ctx))
	}
	return ctx.Err()
}

// Started is closed once this process has asked the store for the lease's record and the note.
func (e *Elector) Started() <-chan struct{} { return e.started }

// Leader returns the peer address of the instance that leads; empty if unknown.
func (e *Elector) Leader() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.known.Leader
}

// Fleet returns how many instances the leader counted when it last renewed.
func (e *Elector) Fleet() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.known.Fleet
}

// Renewal returns the newest renewal known here, for others to go by.
func (e *Elector) Renewal() Renewal {
	e.mu.Lock()
	defer e.mu.Unlock()
	return Renewal{e.known.Offset, max(0, e.clock().Sub(e.renewed))}
}

// Known returns the newest record known here, for others to learn from.
func (e *Elector) Known() Record {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.known
}

// Learn takes in a record that another instance knows of.
func (e *Elector) Learn(r Record) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.Offset > e.known.Offset && e.read {
		r.Fence, r.Fleet = e.known.Fence, e.known.Fleet
		e.learn(r, e.clock().Add(ttl))
		e.denied = false
	}
}

// Answered says that the leader has answered just now, and the renewal that it named.
func (e *Elector) Answered(r Renewal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock()
	e.answered, e.denied, e.suspected = now, false, false
	if r.Offset > e.known.Offset {
		e.known.Offset = r.Offset
		e.expires = now.Add(ttl - r.Age)
	}
}

// Denied says that the leader does not lead any more by its own word.
func (e *Elector) Denied() {
	e.mu.Lock()
	fresh := !e.denied && e.clock().Sub(e.learned) > renewPeriod
	e.denied = e.denied || fresh
	e.mu.Unlock()
	if !fresh {
		return
	}
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// write puts a record at the end of the topic, on the condition that it ends behind the
// newest known.
func (e *Elector) write(ctx context.Context, r Record) (Record, error) {
	data, err := json.Marshal(r)
	if err != nil {
		return r, err
	}
	offset, err := e.store.PutAt(ctx, e.topic, leaseKey, data, r.Offset)
	r.Offset = offset
	return r, err
}

// renew writes the next renewal. One whose answer was lost may stand there: it is renewed at
// once, as its lease counts from the one before.
func (e *Elector) renew(ctx context.Context) {
	err := e.renewOnce(ctx)
	if errors.Is(err, galenastair.ErrConflict) && e.load(ctx) {
		if e.Leader() != e.member {
			e.lost("taken by another")
			return
		}
		err = e.renewOnce(ctx)
	}
	if err != nil {
		e.logger.Log("event", "lease", "call", "renew", "err", err)
	}
	if e.clock().Sub(e.lease.confirmedAt()) > ttl {
		e.lost("expired")
		return
	}
	e.leaveNote(ctx)
}

func (e *Elector) renewOnce(ctx context.Context) error {
	e.mu.Lock()
	next := e.known
	e.mu.Unlock()
	next.Offset++
	next.Fleet = e.fleet()
	sent := e.clock()
	next, err := e.write(ctx, next)
	if err == nil {
		e.accepted(ctx, sent, next, Lapsed)
	}
	return err
}

// accepted takes in a write that stands there.
func (e *Elector) accepted(ctx context.Context, sent boottime.Time, r Record, before Before) {
	e.mu.Lock()
	e.renewed = e.clock()
	e.learn(r, e.renewed.Add(ttl))
	e.mu.Unlock()
	if e.lease.Renewed(sent, e.clock(), true) {
		e.beginTerm(ctx, r, before)
	}
}

// beginTerm fences the term with an offset that no earlier term had.
func (e *Elector) beginTerm(ctx context.Context, r Record, before Before) {
	term := e.lease.Term()
	e.elected()
	if !e.readNote(ctx, false) {
		// the next renewal tries again
		return
	}
	fence := galenastair.Fence(r.Offset) + 1
	e.lease.SetFence(term, fence, before)
	e.logger.Log("event", "lease", "holds", true, "fence", int64(fence), "term", term, "before", int(before))
}

func (e *Elector) lost(cause string) {
	e.held = false
	e.lease.Renewed(0, 0, false)
	e.logger.Log("event", "lease", "holds", false, "cause", cause)
}

// release gives the lease up: no orders any more, then, while this instance still lends, as
// much of the pause between two leaders as passes before a lease expires.
func (e *Elector) release(ctx context.Context) {
	e.lease.Retire()
	last, cancel := context.WithTimeout(ctx, ttl-renewPeriod)
	for last.Err() == nil && e.held {
		e.renew(last)
		timer.Wait(last, renewPeriod)
	}
	cancel()
	e.lease.Renewed(0, 0, false)
	if !e.held {
		return
	}
	call, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	e.mu.Lock()
	r := Record{Offset: e.known.Offset + 1, Fence: e.known.Fence, Fleet: e.known.Fleet}
	e.mu.Unlock()
	if _, err := e.write(call, r); err != nil {
		e.logger.Log("event", "lease", "call", "release", "err", err)
	}
}

// releaseTimeout bounds the last call of an instance that stops.
const releaseTimeout = 500 * time.Millisecond

// load reads the record from the store; false if it gave no answer.
func (e *Elector) load(ctx context.Context) bool {
	b, err := e.store.Newest(ctx, e.topic)
	if err != nil {
		e.logger.Log("event", "lease", "call", "read", "err", err)
		return false
	}
	r := Record{Offset: b.End - 1}
	for _, found := range b.Records {
		if found.Key != leaseKey {
			continue
		}
		if err := json.Unmarshal(found.Value, &r); err != nil {
			e.logger.Log("event", "lease", "record", string(found.Value), "err", err)
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.read, e.denied, e.learned = true, false, e.clock()
	e.learn(r, e.learned.Add(ttl))
	return true
}

// learn takes in a record that is newer than the one known; the lock is held. The answer of
// a store that has dropped its history may be older.
func (e *Elector) learn(r Record, expires boottime.Time) {
	if r.Offset < e.known.Offset {
		return
	}
	if r.Leader != e.known.Leader {
		e.logger.Log("event", "leader", "leader", r.Leader, "before", e.known.Leader, "offset", int64(r.Offset))
		e.answered = e.clock()
	}
	if r.Offset > e.known.Offset {
		e.expires = expires
	}
	e.known = r
}
