package node

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"galenastair/timer"
)

// The states of a caller's connection.
const (
	connQuiet int32 = iota
	connBusy
	connClosed
)

// callerConn is one connection of a caller.
type callerConn struct {
	net.Conn
	state  atomic.Int32
	opened time.Time
	// kept says that it has carried a request.
	kept atomic.Bool
}

// begin marks the connection as busy with a request that has been read; false if it
// has been closed meanwhile.
func (c *callerConn) begin() bool { return c.state.CompareAndSwap(connQuiet, connBusy) }

func (c *callerConn) quiet() {
	c.kept.Store(true)
	c.state.CompareAndSwap(connBusy, connQuiet)
}

// closeQuiet closes the connection unless a request has been read on it.
func (c *callerConn) closeQuiet() {
	if c.state.CompareAndSwap(connQuiet, connClosed) {
		_ = c.Close()
	}
}

// callerConns knows the callers' connections, so that a stop closes them between
// requests only.
//
// Failure: the server's own shutdown closes a connection as idle while a request that
// has just come on it is being read. It shows as a request that reaches a backend
// server and whose caller gets no answer. Here a connection is either closed or has a
// request, never both: both sides change its state with one compare and swap.
type callerConns struct {
	mu    sync.Mutex
	conns map[net.Conn]*callerConn
}

func newCallerConns() *callerConns { return &callerConns{conns: map[net.Conn]*callerConn{}} }

type connKey struct{}

// context remembers the connection for its requests; it is the server's ConnContext.
func (s *callerConns) context(ctx context.Context, c net.Conn) context.Context {
	k := &callerConn{Conn: c, opened: time.Now()}
	s.mu.Lock()
	s.conns[c] = k
	s.mu.Unlock()
	return context.WithValue(ctx, connKey{}, k)
}

// changed follows the connection's state; it is the server's ConnState.
func (s *callerConns) changed(c net.Conn, state http.ConnState) {
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
func (s *callerConns) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if k, ok := r.Context().Value(connKey{}).(*callerConn); ok && !k.begin() {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

const (
	// newFor is how old a connection without any request must be before a stop closes
	// it: a caller's first request is on its way for some milliseconds.
	newFor = 300 * time.Millisecond
	// closePeriod is how often a stop looks for connections to close.
	closePeriod = 20 * time.Millisecond
)

// drain closes quiet connections until none is left or the context ends, and returns
// how many are left.
func (s *callerConns) drain(ctx context.Context) int {
	for {
		left := s.closeQuiet(time.Now().Add(-newFor))
		if left == 0 || !timer.Wait(ctx, closePeriod) {
			return left
		}
	}
}

func (s *callerConns) closeQuiet(before time.Time) int {
	s.mu.Lock()
	list := make([]*callerConn, 0, len(s.conns))
	for _, k := range s.conns {
		list = append(list, k)
	}
	s.mu.Unlock()
	for _, k := range list {
		if k.kept.Load() || k.opened.Before(before) {
			k.closeQuiet()
		}
	}
	return len(list)
}
