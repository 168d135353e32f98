package httpclient

import (
	"net"
	"sync/atomic"
)

// conn counts the writes of which the kernel may have accepted data.
type conn struct {
	net.Conn
	writes        atomic.Int64
	writesBlocked atomic.Bool
}

// Write increments the count before it checks writesBlocked. So either NotSent, which sets
// writesBlocked before it reads the count, sees the write, or the write sees writesBlocked.
// In the other order, a request that was reported as not sent could still be written later.
func (c *conn) Write(p []byte) (int, error) {
	c.writes.Add(1)
	if c.writesBlocked.Load() {
		c.writes.Add(-1)
		return 0, net.ErrClosed
	}
	n, err := c.Conn.Write(p)
	if err != nil && n == 0 {
		c.writes.Add(-1)
	}
	return n, err
}
