package httpclient

import (
	"context"
	"net/http/httptrace"
	"sync"
)

// Sending follows one request onto its connections.
type Sending struct {
	mu     sync.Mutex
	conn   *conn
	before int64
	sent   bool
}

// Track returns a context for one request and what tells whether it was sent.
func Track(ctx context.Context) (context.Context, *Sending) {
	s := &Sending{}
	trace := &httptrace.ClientTrace{GotConn: s.gotConn}
	return httptrace.WithClientTrace(ctx, trace), s
}

// gotConn is called again when the transport changes a connection that was
// closed while idle for another.
func (s *Sending) gotConn(info httptrace.GotConnInfo) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.settle()
	c, ok := info.Conn.(*conn)
	if !ok {
		s.sent = true
		return
	}
	s.conn = c
	s.before = c.writes.Load()
}

func (s *Sending) settle() {
	if s.conn != nil && s.conn.writes.Load() != s.before {
		s.sent = true
	}
}

// NotSent seals the connection of a failed request and says whether no byte of
// the request was given to the kernel; call it only after the request failed.
func (s *Sending) NotSent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn != nil {
		s.conn.sealed.Store(true)
	}
	s.settle()
	return !s.sent
}
