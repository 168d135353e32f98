package relay

import (
	"errors"
	"io"
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

// copy forwards data in one direction until either end closes, and forwards a reset as one. A black-holed
// connection stays open at both ends, so that neither the client nor the server notices.
func (c *proxiedConn) copy(to, from net.Conn) error {
	end := c.close
	buf := make([]byte, bufferSize)
	for {
		n, err := from.Read(buf)
		if n > 0 && !c.blackholed.Load() {
			time.Sleep(c.relay.currentDelay())
			c.relay.forwardedBytes.Add(int64(n))
			if _, err := to.Write(buf[:n]); err != nil {
				end = c.reset
				break
			}
		}
		if err != nil {
			if !errors.Is(err, io.EOF) && !errors.Is(err, net.ErrClosed) {
				end = c.reset
			}
			break
		}
	}
	if c.blackholed.Load() {
		_ = from.Close()
		return nil
	}
	end()
	return nil
}

// reset closes both ends in such a way that neither takes what it has received for complete.
func (c *proxiedConn) reset() {
	for _, conn := range []net.Conn{c.downstream, c.upstream} {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
	c.close()
}

func (c *proxiedConn) close() {
	_ = c.downstream.Close()
	_ = c.upstream.Close()
	c.relay.remove(c)
}
