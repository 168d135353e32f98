package relay

import (
	"net"
	"sync/atomic"
	"time"
)

const bufferSize = 32 << 10

// link is one forwarded connection.
type link struct {
	relay  *Relay
	near   net.Conn
	far    net.Conn
	silent atomic.Bool
}

// copy forwards one direction until either end closes. A silent link stays open
// at both ends: that of the server too, so that it learns nothing either.
func (l *link) copy(to, from net.Conn) error {
	buf := make([]byte, bufferSize)
	for {
		n, err := from.Read(buf)
		if n > 0 && !l.silent.Load() {
			time.Sleep(l.relay.currentDelay())
			l.relay.bytes.Add(int64(n))
			if _, err := to.Write(buf[:n]); err != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	if l.silent.Load() {
		_ = from.Close()
		return nil
	}
	l.close()
	return nil
}

func (l *link) close() {
	_ = l.near.Close()
	_ = l.far.Close()
	l.relay.forget(l)
}
