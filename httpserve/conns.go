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

// States of a connection.
const (
	connIdle int32 = iota
	connActive
	connClosed
)

// conn is an accepted connection and its state.
type conn struct {
	net.Conn
	state  atomic.Int32
	opened time.Time
	// used is set once the connection has served a request.
	used atomic.Bool
	// cancel cancels the current request. It is nil before the first one.
	cancel atomic.Pointer[context.CancelCauseFunc]
}

// setActive marks the connection as serving a request that has been read. It returns false if
// the connection has been closed.
func (c *conn) setActive() bool { return c.state.CompareAndSwap(connIdle, connActive) }

func (c *conn) setIdle() {
	c.used.Store(true)
	c.state.CompareAndSwap(connActive, connIdle)
}

// closeIfIdle closes the connection unless it is serving a request.
func (c *conn) closeIfIdle() {
	if c.state.CompareAndSwap(connIdle, connClosed) {
		_ = c.Close()
	}
}

// ConnTracker tracks the connections of a server, so that a shutdown closes them only between
// requests.
//
// http.Server.Shutdown can close a connection as idle while a request that has just arrived
// on it is being read. The request then reaches a backend server, but its caller gets no
// response. ConnTracker prevents this: a connection is either closed or serves a request,
// since both are entered by a compare-and-swap from the idle state.
type ConnTracker struct {
	mu    sync.Mutex
	conns map[net.Conn]*conn
}

// NewConnTracker returns a ConnTracker without a server.
func NewConnTracker() *ConnTracker { return &ConnTracker{conns: map[net.Conn]*conn{}} }

// Track tracks the connections of a server. It must be called before the server starts.
func (s *ConnTracker) Track(server *http.Server) {
	server.Handler = s.wrapHandler(server.Handler)
	server.ConnContext, server.ConnState = s.connContext, s.connState
}

type connKey struct{}

// connContext is the server's ConnContext hook. It adds the connection to the context of its requests.
func (s *ConnTracker) connContext(ctx context.Context, c net.Conn) context.Context {
	k := &conn{Conn: c, opened: time.Now()}
	s.mu.Lock()
	s.conns[c] = k
	s.mu.Unlock()
	return context.WithValue(ctx, connKey{}, k)
}

// connState is the server's ConnState hook.
func (s *ConnTracker) connState(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateIdle:
		if k := s.conns[c]; k != nil {
			k.setIdle()
		}
	case http.StateClosed, http.StateHijacked:
		delete(s.conns, c)
	}
}

// wrapHandler aborts requests whose connection has already been closed.
func (s *ConnTracker) wrapHandler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		k, ok := r.Context().Value(connKey{}).(*conn)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		if !k.setActive() {
			panic(http.ErrAbortHandler)
		}
		ctx, cancel := context.WithCancelCause(r.Context())
		defer cancel(nil)
		k.cancel.Store(&cancel)
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

const (
	// newConnGracePeriod is the age at which a shutdown closes a connection that has had no
	// request. A client's first request arrives some milliseconds after the connection.
	newConnGracePeriod = 300 * time.Millisecond
	// closeInterval is how often a shutdown looks for idle connections.
	closeInterval = 20 * time.Millisecond
	// finalResponseTimeout bounds the time, after the context of the shutdown has ended, for the
	// responses to requests that the shutdown cancels.
	finalResponseTimeout = 150 * time.Millisecond
)

// Drain closes idle connections until none is left or the context ends. Then it cancels the
// requests that are still in progress, and returns the number of connections left.
//
// Without the cancellation, a request that waits at a backend server for longer than the
// shutdown may take would have its connection closed without a response, after seconds of
// waiting. With it, the caller gets a response and can repeat the request at another instance.
func (s *ConnTracker) Drain(ctx context.Context) int {
	if left := s.closeIdleUntil(ctx); left == 0 {
		return 0
	}
	for _, k := range s.snapshot() {
		if cancel := k.cancel.Load(); cancel != nil {
			(*cancel)(galenastair.ErrStopping)
		}
	}
	last, cancel := context.WithTimeout(context.WithoutCancel(ctx), finalResponseTimeout)
	defer cancel()
	return s.closeIdleUntil(last)
}

// closeIdleUntil closes idle connections until none is left or the context ends.
func (s *ConnTracker) closeIdleUntil(ctx context.Context) int {
	for {
		left := s.closeIdleConns(time.Now().Add(-newConnGracePeriod))
		if left == 0 || !timer.Wait(ctx, closeInterval) {
			return left
		}
	}
}

func (s *ConnTracker) snapshot() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]*conn, 0, len(s.conns))
	for _, k := range s.conns {
		list = append(list, k)
	}
	return list
}

func (s *ConnTracker) closeIdleConns(before time.Time) int {
	list := s.snapshot()
	for _, k := range list {
		if k.used.Load() || k.opened.Before(before) {
			k.closeIfIdle()
		}
	}
	return len(list)
}
