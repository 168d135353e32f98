package lease

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/go-kit/log"

	"galenastair"
	"galenastair/boottime"
	"galenastair/timer"
)

const (
	// renewPeriod allows one renewal to be lost without losing the lease.
	renewPeriod = 450 * time.Millisecond
	// ttl is the time after a renewal until another instance may take the lease. It exceeds the
	// time for which the leader relies on its lease by more than an answer takes to arrive.
	ttl = 1600 * time.Millisecond
	// callTimeout bounds the calls of the leader, and reads of the lease, to the time in which the
	// leader can repeat a renewal before its lease ends. The connection of the first one may have
	// failed without being closed.
	callTimeout = 600 * time.Millisecond
	// leaseKey is the key of the record in its topic.
	leaseKey = "Leader"
)

// Record is the newest entry of the lease.
type Record struct {
	// Offset is -1 while the topic is empty.
	Offset galenastair.Offset `json:"-"`
	// Leader is the leader's peer address; empty after a release.
	Leader string
	Fence  galenastair.Fence
	// FleetSize is the number of instances that the leader knew of.
	FleetSize int `json:"Fleet"`
}

// Renewal is the newest renewal that an instance knows of.
type Renewal struct {
	Offset galenastair.Offset
	// Age is a lower bound of the time since its acknowledgement; 0 is always safe.
	Age time.Duration
}

// Elector takes and renews the lease, and tracks the leader.
type Elector struct {
	store       galenastair.Store
	topic       galenastair.Topic
	lease       *Lease
	self        string
	clock       boottime.Clock
	logger      log.Logger
	checkpoints []*checkpoint
	fleet       func() int
	// onElected is called at the start of each term of this instance.
	onElected func(Predecessor)
	// linkMbps is the bandwidth of this instance's link; 0 means unknown.
	linkMbps float64
	// firstStart reports that the whole fleet starts for the first time.
	firstStart bool
	// started is closed once the record and the checkpoint have been requested from the store.
	started chan struct{}

	mu     sync.Mutex
	record Record
	// loaded reports whether the record has been read from the store.
	loaded bool
	// expires is when the lease in record ends, unless there is a renewal that this instance has
	// not seen.
	expires boottime.Time
	// loadedAt is when the record was last read from the store.
	loadedAt boottime.Time
	// renewedAt is when this instance's own last renewal was acknowledged.
	renewedAt boottime.Time
	// highestFence is the highest fencing token of a leader that this instance has read.
	highestFence galenastair.Fence
	// answeredAt is when the leader last answered a call. leaderSteppedDown means that it has
	// answered that it is no longer the leader.
	answeredAt        boottime.Time
	leaderSteppedDown bool
	// leaderUnreachable means that the leader has not answered since the last failed call, and
	// checkLease that the record should be read from the store for that reason.
	leaderUnreachable, checkLease bool
	wake                          chan struct{}

	// owned by Run
	held    bool
	backoff time.Duration
}

// Option configures an Elector.
type Option func(*Elector)

// WithLogger sets the logger for leader changes and errors.
func WithLogger(l log.Logger) Option { return func(e *Elector) { e.logger = l } }

// WithClock replaces the machine's clock.
func WithClock(c boottime.Clock) Option { return func(e *Elector) { e.clock = c } }

// WithFleetSize sets the function that returns the number of instances; 0 means unknown.
func WithFleetSize(fleet func() int) Option { return func(e *Elector) { e.fleet = fleet } }

// WithOnElected sets a callback for the start of each term of this instance.
func WithOnElected(f func(Predecessor)) Option { return func(e *Elector) { e.onElected = f } }

// NewElector returns the elector of an instance. self is the instance's peer address, so that any
// reader of the leader's name can call it. The topic is used for the lease alone.
func NewElector(s galenastair.Store, topic galenastair.Topic, l *Lease, self string, opts ...Option) *Elector {
	e := &Elector{
		store:     s,
		topic:     topic,
		lease:     l,
		self:      self,
		clock:     boottime.Now,
		logger:    log.NewNopLogger(),
		fleet:     func() int { return 1 },
		onElected: func(Predecessor) {},
		started:   make(chan struct{}),
		record:    Record{Offset: -1},
		wake:      make(chan struct{}, 1),
	}
	for _, o := range opts {
		o(e)
	}
	return e
}

// Run follows, takes and renews the lease until the context ends, and then releases it.
func (e *Elector) Run(ctx context.Context) error {
	timer.Wait(ctx, e.startDelay())
	if e.loadRecord(ctx) {
		e.restoreAtStart(ctx)
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

// Started returns a channel that is closed once this process has requested the record of the lease
// and the checkpoint from the store.
func (e *Elector) Started() <-chan struct{} { return e.started }

// Leader returns the peer address of the leader; empty if unknown.
func (e *Elector) Leader() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.record.Leader
}

// FleetSize returns the number of instances that the leader counted at its last renewal.
func (e *Elector) FleetSize() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.record.FleetSize
}

// Renewal returns the newest renewal known here, for use in replies to other instances.
func (e *Elector) Renewal() Renewal {
	e.mu.Lock()
	defer e.mu.Unlock()
	return Renewal{e.record.Offset, max(0, e.clock().Sub(e.renewedAt))}
}

// LatestRecord returns the newest record known here, to be passed to other instances.
func (e *Elector) LatestRecord() Record {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.record
}

// Observe applies a record that another instance knows of.
func (e *Elector) Observe(r Record) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.Offset > e.record.Offset && e.loaded {
		r.Fence, r.FleetSize = e.record.Fence, e.record.FleetSize
		e.setRecord(r, e.clock().Add(ttl))
		e.leaderSteppedDown = false
	}
}

// ReportAnswer records that the leader has just answered, and the renewal named in its answer.
func (e *Elector) ReportAnswer(r Renewal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock()
	e.answeredAt, e.leaderSteppedDown, e.leaderUnreachable = now, false, false
	if r.Offset > e.record.Offset {
		e.record.Offset = r.Offset
		e.expires = now.Add(ttl - r.Age)
	}
}

// ReportNotLeader records that the supposed leader has answered that it is not the leader.
func (e *Elector) ReportNotLeader() {
	e.mu.Lock()
	firstReport := !e.leaderSteppedDown && e.clock().Sub(e.loadedAt) > renewPeriod
	e.leaderSteppedDown = e.leaderSteppedDown || firstReport
	e.mu.Unlock()
	if !firstReport {
		return
	}
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// write appends a record to the topic if the topic still ends at the newest known offset.
func (e *Elector) write(ctx context.Context, r Record) (Record, error) {
	data, err := json.Marshal(r)
	if err != nil {
		return r, err
	}
	offset, err := e.store.CompareAndPut(ctx, e.topic, leaseKey, data, r.Offset)
	r.Offset = offset
	return r, err
}

// renew writes the next renewal, and once more at once if there is no answer. A conflict can come
// from an earlier renewal of this instance whose answer was lost. In that case it renews again at
// once, because its lease counts from the renewal before. In a restored store the term ends: the
// record there may be one that another instance relies on.
func (e *Elector) renew(ctx context.Context) {
	err := e.renewOnce(ctx)
	if errors.Is(err, galenastair.ErrStoreUnavailable) {
		err = e.renewOnce(ctx)
	}
	if errors.Is(err, galenastair.ErrConflict) && e.loadRecord(ctx) {
		switch {
		case e.termOfEarlierTimeline():
			e.loseLease("the store was restored")
			return
		case e.Leader() != e.self:
			e.loseLease("taken by another instance")
			return
		}
		err = e.renewOnce(ctx)
	}
	if err != nil {
		e.logger.Log("event", "lease", "call", "renew", "err", err)
	}
	if e.clock().Sub(e.lease.confirmedAt()) > ttl {
		e.loseLease("expired")
		return
	}
	e.storeCheckpoints(ctx)
}

// termOfEarlierTimeline reports whether this instance's term began before the store was restored.
func (e *Elector) termOfEarlierTimeline() bool {
	fence, ok := e.lease.Fence()
	return ok && fence.Timeline() < e.LatestRecord().Offset.Timeline()
}

func (e *Elector) renewOnce(ctx context.Context) error {
	e.mu.Lock()
	next := e.record
	e.mu.Unlock()
	next.Offset++
	next.FleetSize = e.fleet()
	sent := e.clock()
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	next, err := e.write(call, next)
	if err == nil {
		e.renewalAccepted(ctx, sent, next, PredecessorLapsed)
	}
	return err
}

// renewalAccepted applies a successful write.
func (e *Elector) renewalAccepted(ctx context.Context, sent boottime.Time, r Record, predecessor Predecessor) {
	e.mu.Lock()
	e.renewedAt = e.clock()
	e.setRecord(r, e.renewedAt.Add(ttl))
	e.mu.Unlock()
	if e.lease.HandleRenewal(sent, e.clock(), true) {
		e.beginTerm(ctx, r, predecessor)
	}
}

// beginTerm assigns the term a fencing token that no earlier term had.
func (e *Elector) beginTerm(ctx context.Context, r Record, predecessor Predecessor) {
	term := e.lease.Term()
	e.onElected(predecessor)
	if !e.restoreTerm(ctx) {
		// the next renewal tries again
		return
	}
	fence := galenastair.Fence(r.Offset) + 1
	e.lease.SetFence(term, fence, predecessor)
	e.logger.Log("event", "lease", "holds", true, "fence", int64(fence), "term", term, "before", int(predecessor))
}

func (e *Elector) loseLease(cause string) {
	e.held = false
	e.lease.HandleRenewal(0, 0, false)
	e.logger.Log("event", "lease", "holds", false, "cause", cause)
}

// release gives up the lease. It first stops orders, and then renews and lends for ttl-renewPeriod.
// If engines check fencing tokens, TakeoverDelayLapsed is shorter by that time, because it presumes
// that the predecessor has sent no orders for so long.
func (e *Elector) release(ctx context.Context) {
	e.lease.StopOrders()
	last, cancel := context.WithTimeout(ctx, ttl-renewPeriod)
	for last.Err() == nil && e.held {
		e.renew(last)
		timer.Wait(last, renewPeriod)
	}
	cancel()
	e.lease.HandleRenewal(0, 0, false)
	if !e.held {
		return
	}
	call, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	e.mu.Lock()
	r := Record{Offset: e.record.Offset + 1, Fence: e.record.Fence, FleetSize: e.record.FleetSize}
	e.mu.Unlock()
	if _, err := e.write(call, r); err != nil {
		e.logger.Log("event", "lease", "call", "release", "err", err)
	}
}

// releaseTimeout bounds the last call of an instance that shuts down.
const releaseTimeout = 500 * time.Millisecond

// loadRecord reads the record from the store; false if the store did not answer.
func (e *Elector) loadRecord(ctx context.Context) bool {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	b, err := e.store.Newest(call, e.topic)
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
	e.loaded, e.leaderSteppedDown, e.loadedAt = true, false, e.clock()
	e.setRecord(r, e.loadedAt.Add(ttl))
	return true
}

// setRecord applies a record unless a newer one is known; a store that has lost its history may
// return an older one. The lock must be held.
func (e *Elector) setRecord(r Record, expires boottime.Time) {
	if r.Offset < e.record.Offset {
		e.logger.Log("event", "stale read", "offset", int64(e.record.Offset), "read", int64(r.Offset))
		return
	}
	if r.Leader != e.record.Leader {
		e.logger.Log("event", "leader", "leader", r.Leader, "before", e.record.Leader, "offset", int64(r.Offset))
		e.answeredAt = e.clock()
	}
	if r.Offset > e.record.Offset {
		e.expires = expires
	}
	e.record = r
	e.highestFence = max(e.highestFence, r.Fence)
}
