package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/go-kit/log"

	"galenastair"
	"galenastair/logservice"
)

// shutdownTimeout limits how long open requests may take to finish after SIGTERM.
const shutdownTimeout = 30 * time.Second

// listen opens a listener and prints its address to standard output, for scripts that
// let the system choose the port.
func listen(address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	fmt.Println("listening", l.Addr())
	return l, nil
}

// advertisedAddress returns the address at which other processes reach the listener.
// It is that of a relay if faults are injected, and otherwise the listener's.
func advertisedAddress(address string, l net.Listener) string {
	if address != "" {
		return address
	}
	return l.Addr().String()
}

// newServer returns a server whose requests are not cancelled with the context of the
// command, so that open requests can finish on shutdown.
func newServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
}

// shutdown stops a server when its open requests have finished, and closes their
// connections after shutdownTimeout.
func shutdown(s *http.Server) error {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	err := s.Shutdown(ctx)
	if errors.Is(err, context.DeadlineExceeded) {
		return s.Close()
	}
	return err
}

// serve runs a server on l until the context is done. It calls leave before the
// shutdown.
func serve(ctx context.Context, l net.Listener, h http.Handler, leave func()) error {
	s := newServer(h)
	served := make(chan error, 1)
	go func() { served <- s.Serve(l) }()
	select {
	case err := <-served:
		return err
	case <-ctx.Done():
	}
	leave()
	err := shutdown(s)
	return errors.Join(err, ignoreShutdownError(<-served))
}

// ignoreShutdownError returns err, or nil if err only says that a shutdown was
// requested.
func ignoreShutdownError(err error) error {
	if errors.Is(err, context.Canceled) || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// registration keeps an instance on the platform's instance list.
type registration struct {
	client   *logservice.Client
	instance galenastair.ListedInstance
	done     chan error
	cancel   context.CancelFunc
}

// register starts to announce an instance, which continues until leave is called.
// Without a platform address it returns nil, whose methods do nothing.
func register(platformAddress string, instance galenastair.ListedInstance) *registration {
	if platformAddress == "" {
		return nil
	}
	logger := log.NewLogfmtLogger(log.NewSyncWriter(os.Stderr))
	ctx, cancel := context.WithCancel(context.Background())
	r := &registration{logservice.New(platformAddress), instance, make(chan error, 1), cancel}
	go func() {
		r.done <- r.client.Register(ctx, func() galenastair.ListedInstance { return instance }, func(err error) {
			_ = logger.Log("msg", "registration failed", "id", instance.ID, "err", err)
		})
	}()
	return r
}

// defaultLeaveNotice is how long a leaving process continues to accept requests. The
// instance list shows with a lag that the process is leaving, and until then entries
// still send it requests.
const defaultLeaveNotice = 500 * time.Millisecond

// leave marks the instance as leaving on the list, and waits for notice so that readers
// of the list can see it.
func (r *registration) leave(notice time.Duration) {
	if r == nil {
		return
	}
	r.cancel()
	_ = ignoreShutdownError(<-r.done)
	r.instance.Leaving = true
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = r.client.Heartbeat(ctx, r.instance)
	time.Sleep(notice)
}

// withdraw removes the instance from the list.
func (r *registration) withdraw() {
	if r == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = r.client.Deregister(ctx, r.instance.ID)
	r.client.Close()
}
