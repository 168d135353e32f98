package control

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

// ErrStopped says that the loop no longer runs work.
var ErrStopped = eris.New("the control loop has stopped")

// backlog bounds the posted work that may wait; a poster blocks beyond it, so
// that a burst of heartbeats slows its senders instead of growing memory.
const backlog = 1024

// Loop runs posted functions one at a time, in the order in which they were posted.
type Loop struct {
	work    chan func()
	stopped chan struct{}
}

// NewLoop returns a loop that does nothing until Run.
func NewLoop() *Loop {
	return &Loop{work: make(chan func(), backlog), stopped: make(chan struct{})}
}

// Run works until the context ends; it may be called once.
func (l *Loop) Run(ctx context.Context) error {
	defer close(l.stopped)
	for {
		select {
		case f := <-l.work:
			f()
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Post queues work and does not wait for it to run.
func (l *Loop) Post(ctx context.Context, f func()) error {
	select {
	case <-l.stopped:
		return ErrStopped
	default:
	}
	select {
	case l.work <- f:
		return nil
	case <-l.stopped:
		return ErrStopped
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Do queues work and waits until it has run.
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

// Every posts f each period until the context ends.
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
