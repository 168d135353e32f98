package overload

import (
	"io"
	"net"
	"sync/atomic"
	"time"
)

// Guard closes new connections of a listener while the instance lacks processor time.
type Guard struct {
	admission admission
	closed    atomic.Int64
}

// Listen returns a listener of guarded connections.
func (g *Guard) Listen(l net.Listener) net.Listener { return &listener{l, g} }

// Closed returns the number of connections that were closed unread.
func (g *Guard) Closed() int64 { return g.closed.Load() }

type listener struct {
	net.Listener
	guard *Guard
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, guard: l.guard, acceptedAt: time.Now()}, nil
}

// conn is a connection whose first read decides whether it is served. The server reads it as soon as
// the connection's goroutine runs.
type conn struct {
	net.Conn
	guard      *Guard
	acceptedAt time.Time
	read       bool
}

// NetConn returns the accepted connection.
func (c *conn) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn. A connection that is not served looks as if its client had closed it.
func (c *conn) Read(p []byte) (int, error) {
	if !c.read {
		c.read = true
		if !c.guard.admission.admit(time.Since(c.acceptedAt)) {
			c.guard.closed.Add(1)
			return 0, io.EOF
		}
	}
	return c.Conn.Read(p)
}
