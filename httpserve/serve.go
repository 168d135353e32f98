package httpserve

import (
	"errors"
	"net"
	"net/http"

	"github.com/oklog/run"
)

// Add adds a server on its listener to the group. Its goroutine waits for the group's end
// also when its listener was closed: else the callers' port, which closes first, would stop
// the group while the last requests still run. The channel is closed once the server accepts
// no more and knows every connection that it has accepted.
func Add(g *run.Group, s *http.Server, l net.Listener) <-chan struct{} {
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
