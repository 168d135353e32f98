package httpserve

import (
	"context"
	"errors"
	"net"
	"net/http"

	"github.com/oklog/run"

	"galenastair/sockbuf"
)

// Listen listens on a TCP address. If bufferBytes is not 0, it is the size of the send and receive buffers
// of the sockets of accepted connections. Otherwise the kernel lets them grow to some megabytes.
func Listen(ctx context.Context, address string, bufferBytes int) (net.Listener, error) {
	var c net.ListenConfig
	if bufferBytes > 0 {
		c.Control = sockbuf.Control(bufferBytes)
	}
	return c.Listen(ctx, "tcp", address)
}

// Add adds a server with its listener to the group. After the listener is closed, the server's
// goroutine still waits for the group to end. Otherwise the listener for callers, which is
// closed first, would stop the group while the last requests are in progress. The returned
// channel is closed once the server accepts no more connections and has registered every
// connection that it has accepted.
func Add(g *run.Group, s *http.Server, l net.Listener) <-chan struct{} {
	resetTruncated(s)
	ended, served := make(chan struct{}), make(chan struct{})
	g.Add(func() error {
		err := s.Serve(l)
		close(served)
		if !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			return err
		}
		<-ended
		return nil
	}, func(error) {
		close(ended)
		_ = s.Close()
	})
	return served
}
