package httpserve

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"galenastair"
	"galenastair/timer"
)

// The states of a caller's connection.
const (
	connQuiet int32 = iota
	connBusy
	connClosed
)

// conn is one connection of a caller.
type conn struct {
	net.Conn
	state  atomic.Int32
	opened time.Time
	// kept says that it has carried a request.
	kept atomic.Bool
	// cancel ends the request under way; nil before the first.
	cancel atomic.Pointer[context.CancelCauseFunc]
}

// begin marks the connection as busy with a request that has been read; false if it
// has been closed meanwhile.
func (c *conn) begin() bool { return c.state.CompareAndSwap(connQuiet, connBusy) }

func (c *conn) quiet() {
	c.kept.Store(true)
	c.state.CompareAndSwap(connBusy, connQuiet)
}

// closeQuiet closes the connection unless a request has been read on it.
func (c *conn) closeQuiet() {
	if c.state.CompareAndSwap(connQuiet, connClosed) {
		_ = c.Close()
	}
}

// Conns knows the callers' connections, so that a stop closes them between
// requests only.
//
// Failure: the server's own shutdown closes a connection as idle while a request that
// has just come on it is being read. It shows as a request that reaches a backend
// server and whose caller gets no answer. Here a connection is either closed or has a
// request, never both: both sides change its state with one compare and swap.
type Conns struct {
	mu    sync.Mutex
	conns map[net.Conn]*conn
}

// NewConns returns a set that watches no server yet.
func NewConns() *Conns { return &Conns{conns: map[net.Conn]*conn{}} }

// Watch follows the connections of a server, which must not serve yet.
func (s *Conns) Watch(server *http.Server) {
	server.Handler = s.handler(server.Handler)
	server.ConnContext, server.ConnState = s.context, s.changed
}

type connKey struct{}

// context remembers the connection for its requests; it is the server's ConnContext.
func (s *Conns) context(ctx context.Context, c net.Conn) context.Context {
	k := &conn{Conn: c, opened: time.Now()}
	s.mu.Lock()
	s.conns[c] = k
	s.mu.Unlock()
	return context.WithValue(ctx, connKey{}, k)
}

// changed follows the connection's state; it is the server's ConnState.
func (s *Conns) changed(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateIdle:
		if k := s.conns[c]; k != nil {
			k.quiet()
		}
	case http.StateClosed, http.StateHijacked:
		delete(s.conns, c)
	}
}

// handler lets only those requests through whose connection is not closed yet.
func (s *Conns) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		k, ok := r.Context().Value(connKey{}).(*conn)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		if !k.begin() {
			panic(http.ErrAbortHandler)
		}
		ctx, cancel := context.WithCancelCause(r.Context())
		defer cancel(nil)
		k.cancel.Store(&cancel)
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

const (
	// newFor is how old a connection without any request must be before a stop closes
	// it: a caller's first request is on its way for some milliseconds.
	newFor = 300 * time.Millisecond
	// closePeriod is how often a stop looks for connections to close.
	closePeriod = 20 * time.Millisecond
	// lastAnswers is for the answers to requests that a stop ends, beyond its context.
	lastAnswers = 150 * time.Millisecond
)

// Drain closes quiet connections until none is left or the context ends. Then it ends the
// requests that are still under way, and returns how many connections are left.
//
// Failure guarded against: a request that waits at a backend server for longer than a stop
// may take. Its connection was closed without a word, though it had waited for seconds; its
// caller is better told, for it to ask elsewhere.
func (s *Conns) Drain(ctx context.Context) int {
	if left := s.closeUntil(ctx); left == 0 {
		return 0
	}
	for _, k := range s.list() {
		if cancel := k.cancel.Load(); cancel != nil {
			(*cancel)(galenastair.ErrStopping)
		}
	}
	last, cancel := context.WithTimeout(context.WithoutCancel(ctx), lastAnswers)
	defer cancel()
	return s.closeUntil(last)
}

// closeUntil closes quiet connections until none is left or the context ends.
func (s *Conns) closeUntil(ctx context.Context) int {
	for {
		left := s.closeQuiet(time.Now().Add(-newFor))
		if left == 0 || !timer.Wait(ctx, closePeriod) {
			return left
		}
	}
}

func (s *Conns) list() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]*conn, 0, len(s.conns))
	for _, k := range s.conns {
		list = append(list, k)
	}
	return list
}

func (s *Conns) closeQuiet(before time.Time) int {
	list := s.list()
	for _, k := range list {
		if k.kept.Load() || k.opened.Before(before) {
			k.closeQuiet()
		}
	}
	return len(list)
}
