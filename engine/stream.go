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

// stream is a streamed response on one connection. It is not safe for concurrent use.
type stream struct {
	body        io.ReadCloser
	events      *eventReader
	validator   eventValidator
	cancel      context.CancelFunc
	idleTimeout time.Duration
	timer       *time.Timer
	timedOut    atomic.Bool
	done        bool
	// err is the first error of the stream; events after it are not valid.
	err error
}

// onIdleTimeout closes a connection whose state a network device on the path has lost:
// reads on it would block forever, while a new connection works.
func (s *stream) onIdleTimeout() {
	s.timedOut.Store(true)
	s.cancel()
}

// resetTimer starts the idle timer. The timer is stopped between reads, so that a slow
// caller does not count as an idle connection.
func (s *stream) resetTimer() { s.timer.Reset(s.idleTimeout) }

// Next returns the next chunk, and io.EOF after the [DONE] event.
func (s *stream) Next() (galenastair.Chunk, error) {
	if s.done {
		return galenastair.Chunk{}, io.EOF
	}
	if s.err != nil {
		return galenastair.Chunk{}, s.err
	}
	chunk, err := s.read()
	s.err = err
	s.done = chunk.End
	return chunk, err
}

func (s *stream) read() (galenastair.Chunk, error) {
	ev, err := s.events.next()
	s.timer.Stop()
	if err != nil {
		return galenastair.Chunk{}, s.wrapReadError(err)
	}
	return s.validator.validate(ev)
}

func (s *stream) wrapReadError(err error) error {
	switch {
	case s.timedOut.Load():
		return eris.Wrapf(galenastair.ErrProgressTimeout, "before event %d", s.validator.nextSequence)
	case errors.Is(err, context.Canceled), errors.Is(err, context.DeadlineExceeded):
		return err
	}
	return eris.Wrapf(galenastair.ErrResponseTruncated, "before event %d: %v", s.validator.nextSequence, err)
}

// Close closes the stream. The connection and the read buffer are reused only if the
// response was read to its end, since otherwise a call of Next may still be reading.
func (s *stream) Close() error {
	s.timer.Stop()
	if s.done && s.events.r != nil {
		s.drain()
		s.events.release()
	}
	err := s.body.Close()
	s.cancel()
	return err
}

// drainTimeout is long enough for the few bytes that follow the [DONE] event, and short
// for a caller, as the end of its response is delayed by it.
const drainTimeout = 50 * time.Millisecond

// drain reads the body to its end; otherwise net/http would close the connection.
func (s *stream) drain() {
	s.timer.Reset(drainTimeout)
	_, _ = io.CopyN(io.Discard, s.events.r, 1)
	s.timer.Stop()
}
