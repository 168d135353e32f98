package httpclient

import (
	"net"
	"sync/atomic"
)

// conn counts the writes that the kernel may have taken.
type conn struct {
	net.Conn
	writes atomic.Int64
	sealed atomic.Bool
}

// Write counts itself before it looks at the seal: so either a sealer sees the
// write, or the write sees the seal. Without this order a request that its
// caller has given up as not sent could still leave a moment later.
func (c *conn) Write(p []byte) (int, error) {
	c.writes.Add(1)
	if c.sealed.Load() {
		c.writes.Add(-1)
		return 0, net.ErrClosed
	}
	n, err := c.Conn.Write(p)
	if err != nil && n == 0 {
		c.writes.Add(-1)
	}
	return n, err
}
