package dispatch

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"galenastair"
)

// Dispatcher makes the goroutines of requests wait until the Scheduler grants them a backend
// server. Its mutex is held for single decisions, a few microseconds, and never while a
// request waits.
type Dispatcher struct {
	clock galenastair.Clock
	rng   *rand.Rand

	mu        sync.Mutex
	scheduler *Scheduler
	budget    *RetryBudget
	waiters   map[*Ticket]chan Decision
}

// Option configures a Dispatcher.
type Option func(*Dispatcher)

// WithClock replaces the system clock.
func WithClock(c galenastair.Clock) Option {
	return func(d *Dispatcher) { d.clock = c }
}

// WithRand replaces the source of random numbers.
func WithRand(rng *rand.Rand) Option {
	return func(d *Dispatcher) { d.rng = rng }
}

// New returns a dispatcher without backend servers.
func New(opts ...Option) *Dispatcher {
	d := &Dispatcher{
		clock:   galenastair.SystemClock{},
		rng:     rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		budget:  NewRetryBudget(),
		waiters: map[*Ticket]chan Decision{},
	}
	for _, opt := range opts {
		opt(d)
	}
	d.scheduler = NewScheduler(d.rng)
	return d
}

// Acquire waits until the request is granted a backend server or refused. The error is a
// *galenastair.Refusal, or the context's error if the context ended first.
func (d *Dispatcher) Acquire(ctx context.Context, r Request) (*Grant, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	t, decided := d.submit(r)
	expire := time.NewTimer(d.expiryDelay(r))
	defer expire.Stop()
	for {
		select {
		case dec := <-decided:
			if ctx.Err() != nil {
				decided <- dec
				return d.abandon(ctx, t, decided)
			}
			return d.toGrant(dec)
		case <-expire.C:
			d.expire(r.Model)
			expire.Reset(noCopyTimeout)
		case <-ctx.Done():
			return d.abandon(ctx, t, decided)
		}
	}
}

// expiryDelay returns the time until the first check whether the request has expired.
func (d *Dispatcher) expiryDelay(r Request) time.Duration {
	if r.Deadline.IsZero() {
		return noCopyTimeout
	}
	return min(noCopyTimeout, max(0, r.Deadline.Sub(d.clock.Now()))) + time.Millisecond
}

func (d *Dispatcher) submit(r Request) (*Ticket, chan Decision) {
	decided := make(chan Decision, 1)
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(r.Exclude) == 0 {
		d.budget.Earn()
	}
	t := d.scheduler.Submit(d.clock.Now(), r)
	d.waiters[t] = decided
	d.deliver()
	return t, decided
}

// deliver sends the pending decisions to their waiters. The channels never block, as each
// has a buffer of one and receives one decision.
func (d *Dispatcher) deliver() {
	for _, dec := range d.scheduler.Poll() {
		if decided, ok := d.waiters[dec.Ticket]; ok {
			delete(d.waiters, dec.Ticket)
			decided <- dec
		}
	}
}

func (d *Dispatcher) toGrant(dec Decision) (*Grant, error) {
	if dec.Err != nil {
		return nil, dec.Err
	}
	return &Grant{Choice: dec.Choice, ticket: dec.Ticket, dispatcher: d}, nil
}

func (d *Dispatcher) expire(m galenastair.ModelName) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.scheduler.Expire(d.clock.Now(), m)
	d.deliver()
}

// abandon cancels a request whose context has ended. A grant that was made at the same time
// is released, or its slot would be lost permanently.
func (d *Dispatcher) abandon(ctx context.Context, t *Ticket, decided chan Decision) (*Grant, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.scheduler.Cancel(t)
	delete(d.waiters, t)
	select {
	case dec := <-decided:
		if dec.Err == nil {
			d.scheduler.Done(d.clock.Now(), t, Result{})
			d.deliver()
		}
	default:
	}
	return nil, ctx.Err()
}

// MayRetry takes one retry out of the retry budget, and returns false if it is used up.
func (d *Dispatcher) MayRetry() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.budget.Spend()
}

// SetServers replaces the list of model engines.
func (d *Dispatcher) SetServers(servers []Server) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.scheduler.SetServers(d.clock.Now(), servers)
	d.deliver()
}

// ApplyReport applies an engine's report of its state.
func (d *Dispatcher) ApplyReport(r galenastair.EngineReport) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.scheduler.ApplyReport(d.clock.Now(), r)
	d.deliver()
}

// ApplyCacheEvents applies an engine's additions to and evictions from its prefix cache.
func (d *Dispatcher) ApplyCacheEvents(id galenastair.BackendServerID, events []galenastair.CacheEvent) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.scheduler.ApplyCacheEvents(id, events)
}

// Demand returns the demand of every model requested on this instance so far.
func (d *Dispatcher) Demand() []Demand {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.scheduler.Demand()
}

// Unhealthy returns the backend servers that remain slow, failing or silent.
func (d *Dispatcher) Unhealthy() []galenastair.BackendServerID {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.scheduler.Unhealthy(d.clock.Now())
}

// QueueLength returns the number of requests that wait for a backend server.
func (d *Dispatcher) QueueLength() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.scheduler.QueueLength()
}
