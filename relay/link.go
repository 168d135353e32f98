package relay

import (
	"net"
	"sync/atomic"
	"time"
)

const bufferSize = 32 << 10

// proxiedConn is one forwarded connection.
type proxiedConn struct {
	relay      *Relay
	downstream net.Conn
	upstream   net.Conn
	blackholed atomic.Bool
}

// copy forwards data in one direction until either end closes. A black-holed connection
// stays open at both ends, so that neither the client nor the server notices.
func (c *proxiedConn) copy(to, from net.Conn) error {
	buf := make([]byte, bufferSize)
	for {
		n, err := from.Read(buf)
		if n > 0 && !c.blackholed.Load() {
			time.Sleep(c.relay.currentDelay())
			c.relay.forwardedBytes.Add(int64(n))
			if _, err := to.Write(buf[:n]); err != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	if c.blackholed.Load() {
		_ = from.Close()
		return nil
	}
	c.close()
	return nil
}

func (c *proxiedConn) close() {
	_ = c.downstream.Close()
	_ = c.upstream.Close()
	c.relay.remove(c)
}
