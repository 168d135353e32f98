package engine

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"galenastair"
)

// stream is one answer on one connection, for one goroutine.
type stream struct {
	body    io.ReadCloser
	events  *eventReader
	check   checker
	cancel  context.CancelFunc
	silence time.Duration
	timer   *time.Timer
	silent  atomic.Bool
	ended   bool
	// failed is why the stream broke; nothing that comes after can be trusted.
	failed error
}

// expire ends a connection that something between the two ends has lost track
// of: no read on it ever returns, while a new connection would work.
func (s *stream) expire() {
	s.silent.Store(true)
	s.cancel()
}

// rearm gives the connection its whole time again; the timer rests between reads,
// so that a slow caller is not taken for a silent engine.
func (s *stream) rearm() { s.timer.Reset(s.silence) }

// Next returns the next chunk, and io.EOF after the end mark.
func (s *stream) Next() (galenastair.Chunk, error) {
	if s.ended {
		return galenastair.Chunk{}, io.EOF
	}
	if s.failed != nil {
		return galenastair.Chunk{}, s.failed
	}
	chunk, err := s.read()
	s.failed = err
	s.ended = chunk.End
	return chunk, err
}

func (s *stream) read() (galenastair.Chunk, error) {
	ev, err := s.events.next()
	s.timer.Stop()
	if err != nil {
		return galenastair.Chunk{}, s.cause(err)
	}
	return s.check.check(ev)
}

func (s *stream) cause(err error) error {
	switch {
	case s.silent.Load():
		return eris.Wrapf(galenastair.ErrSilent, "before event %d", s.check.next)
	case errors.Is(err, context.Canceled), errors.Is(err, context.DeadlineExceeded):
		return err
	}
	return eris.Wrapf(galenastair.ErrAnswerCut, "before event %d: %v", s.check.next, err)
}

// Close ends the stream; a connection whose answer was read whole is used again,
// and its buffer too: only then can no Next still be reading.
func (s *stream) Close() error {
	s.timer.Stop()
	if s.ended && s.events.r != nil {
		s.drain()
		s.events.release()
	}
	err := s.body.Close()
	s.cancel()
	return err
}

// drainTimeout is long for the few bytes that end a body after its end mark, and
// short for a caller whose whole answer waits for them.
const drainTimeout = 50 * time.Millisecond

// drain reads the end of the body, without which net/http closes the connection.
func (s *stream) drain() {
	s.timer.Reset(drainTimeout)
	_, _ = io.CopyN(io.Discard, s.events.r, 1)
	s.timer.Stop()
}
