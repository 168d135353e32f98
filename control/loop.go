package control

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

// ErrStopped is returned once the loop no longer runs functions.
var ErrStopped = eris.New("the control loop has stopped")

// queueSize limits the queued functions. Post blocks when the queue is full, so that
// a burst of heartbeats slows down its senders instead of using more memory.
const queueSize = 1024

// Loop runs functions one at a time, in the order in which they were posted.
type Loop struct {
	queue   chan func()
	stopped chan struct{}
}

// NewLoop returns a loop that runs nothing until Run is called.
func NewLoop() *Loop {
	return &Loop{queue: make(chan func(), queueSize), stopped: make(chan struct{})}
}

// Run runs the posted functions until the context is done. It may be called only once.
func (l *Loop) Run(ctx context.Context) error {
	defer close(l.stopped)
	for {
		select {
		case f := <-l.queue:
			f()
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Post queues a function and does not wait for it to run. It blocks while the queue is full.
func (l *Loop) Post(ctx context.Context, f func()) error {
	select {
	case <-l.stopped:
		return ErrStopped
	default:
	}
	select {
	case l.queue <- f:
		return nil
	case <-l.stopped:
		return ErrStopped
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Do queues a function and waits until it has run.
func (l *Loop) Do(ctx context.Context, f func()) error {
	done := make(chan struct{})
	if err := l.Post(ctx, func() { f(); close(done) }); err != nil {
		return err
	}
	select {
	case <-done:
		return nil
	case <-l.stopped:
		return ErrStopped
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Every posts f once per period until the context is done.
func (l *Loop) Every(ctx context.Context, period time.Duration, f func()) error {
	tick := time.NewTicker(period)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			if err := l.Post(ctx, f); err != nil {
				return err
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
