package dispatch

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"galenastair"
)

// Dispatcher lets the goroutines of traffic wait for their turn. Its lock is held
// for single decisions only, some microseconds, and never while waiting.
type Dispatcher struct {
	clock galenastair.Clock
	rng   *rand.Rand

	mu     sync.Mutex
	core   *Core
	budget *RetryBudget
	wait   map[*Ticket]chan Decision
}

// Option varies a Dispatcher.
type Option func(*Dispatcher)

// WithClock replaces the clock of the machine.
func WithClock(c galenastair.Clock) Option {
	return func(d *Dispatcher) { d.clock = c }
}

// WithRand replaces the source of random draws.
func WithRand(rng *rand.Rand) Option {
	return func(d *Dispatcher) { d.rng = rng }
}

// New returns a dispatcher that knows no backend server yet.
func New(opts ...Option) *Dispatcher {
	d := &Dispatcher{
		clock:  galenastair.SystemClock{},
		rng:    rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		budget: NewRetryBudget(),
		wait:   map[*Ticket]chan Decision{},
	}
	for _, opt := range opts {
		opt(d)
	}
	d.core = NewCore(d.rng)
	return d
}

// Acquire waits until the request is granted a backend server or refused. The
// error is a *galenastair.Refusal, or the context's if the caller gave up first.
func (d *Dispatcher) Acquire(ctx context.Context, r Request) (*Grant, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	t, decided := d.submit(r)
	expire := time.NewTimer(d.patience(r))
	defer expire.Stop()
	for {
		select {
		case dec := <-decided:
			return d.answer(dec)
		case <-expire.C:
			d.expire(r.Model)
			expire.Reset(copyGrace)
		case <-ctx.Done():
			return d.giveUp(ctx, t, decided)
		}
	}
}

// patience is when to look whether a waiting request has run out of time.
func (d *Dispatcher) patience(r Request) time.Duration {
	if r.Deadline.IsZero() {
		return copyGrace
	}
	return min(copyGrace, max(0, r.Deadline.Sub(d.clock.Now()))) + time.Millisecond
}

func (d *Dispatcher) submit(r Request) (*Ticket, chan Decision) {
	decided := make(chan Decision, 1)
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(r.Exclude) == 0 {
		d.budget.Earn()
	}
	t := d.core.Submit(d.clock.Now(), r)
	d.wait[t] = decided
	d.deliver()
	return t, decided
}

// deliver hands out the decisions made so far; the channels never block, as each
// gets one decision only.
func (d *Dispatcher) deliver() {
	for _, dec := range d.core.Poll() {
		if decided, ok := d.wait[dec.Ticket]; ok {
			delete(d.wait, dec.Ticket)
			decided <- dec
		}
	}
}

func (d *Dispatcher) answer(dec Decision) (*Grant, error) {
	if dec.Err != nil {
		return nil, dec.Err
	}
	return &Grant{Choice: dec.Choice, ticket: dec.Ticket, owner: d}, nil
}

func (d *Dispatcher) expire(m galenastair.ModelName) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.core.Expire(d.clock.Now(), m)
	d.deliver()
}

// giveUp takes a request out whose caller went away. A grant that was made in the
// same moment is released, or its room would be lost for good.
func (d *Dispatcher) giveUp(ctx context.Context, t *Ticket, decided chan Decision) (*Grant, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.core.Cancel(t)
	delete(d.wait, t)
	select {
	case dec := <-decided:
		if dec.Err == nil {
			d.core.Done(d.clock.Now(), t, Result{})
			d.deliver()
		}
	default:
	}
	return nil, ctx.Err()
}

// MayRetry takes one further try out of the retry budget; false if none is left.
func (d *Dispatcher) MayRetry() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.budget.Spend()
}

// SetServers replaces the list of model engines.
func (d *Dispatcher) SetServers(servers []Server) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.core.SetServers(d.clock.Now(), servers)
	d.deliver()
}

// Report takes in what an engine said about itself.
func (d *Dispatcher) Report(r galenastair.EngineReport) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.core.Report(d.clock.Now(), r)
	d.deliver()
}

// CacheEvents takes in what an engine cached and dropped.
func (d *Dispatcher) CacheEvents(id galenastair.BackendServerID, events []galenastair.CacheEvent) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.core.CacheEvents(id, events)
}

// Demand returns what was asked of every model on this entry so far.
func (d *Dispatcher) Demand() []Demand {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.core.Demand()
}

// Slow returns the backend servers that stay slow, failing or silent.
func (d *Dispatcher) Slow() []galenastair.BackendServerID {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.core.Slow(d.clock.Now())
}

// Waiting returns the number of requests that wait for a backend server.
func (d *Dispatcher) Waiting() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.core.Waiting()
}
