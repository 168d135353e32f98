package httpclient

import (
	"context"
	"net/http/httptrace"
	"sync"
)

// RequestTrace records whether one request was written to a connection.
type RequestTrace struct {
	mu           sync.Mutex
	conn         *conn
	writesBefore int64
	written      bool
}

// WithRequestTrace returns a context for one request, and the RequestTrace that records whether
// the request was written.
func WithRequestTrace(ctx context.Context) (context.Context, *RequestTrace) {
	t := &RequestTrace{}
	trace := &httptrace.ClientTrace{GotConn: t.gotConn}
	return httptrace.WithClientTrace(ctx, trace), t
}

// gotConn is called when the transport has chosen a connection. It is called again if that
// connection was closed while idle and the transport chooses another one.
func (t *RequestTrace) gotConn(info httptrace.GotConnInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.checkWritten()
	c, ok := info.Conn.(*conn)
	if !ok {
		t.written = true
		return
	}
	t.conn = c
	t.writesBefore = c.writes.Load()
}

func (t *RequestTrace) checkWritten() {
	if t.conn != nil && t.conn.writes.Load() != t.writesBefore {
		t.written = true
	}
}

// NotSent reports whether no byte of a failed request was passed to the kernel. It blocks
// further writes on the connection of the request, and may be called only after the request
// has failed.
func (t *RequestTrace) NotSent() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conn != nil {
		t.conn.writesBlocked.Store(true)
	}
	t.checkWritten()
	return !t.written
}
