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

// stopWithin bounds how long open requests may take to end on SIGTERM.
const stopWithin = 30 * time.Second

// listen opens the listener and tells on standard output where, for scripts that let the system choose the port.
func listen(address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	fmt.Println("listening", l.Addr())
	return l, nil
}

// advertised is where others reach the listener: through a relay, in proofs.
func advertised(address string, l net.Listener) string {
	if address != "" {
		return address
	}
	return l.Addr().String()
}

// server returns a server that keeps open requests alive past the context.
func server(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
}

// shutdown ends a server once its open requests have ended.
func shutdown(s *http.Server) error {
	ctx, cancel := context.WithTimeout(context.Background(), stopWithin)
	defer cancel()
	err := s.Shutdown(ctx)
	if errors.Is(err, context.DeadlineExceeded) {
		return s.Close()
	}
	return err
}

// serve runs a server on l until the context ends; leave is called before it shuts down.
func serve(ctx context.Context, l net.Listener, h http.Handler, leave func()) error {
	s := server(h)
	ended := make(chan error, 1)
	go func() { ended <- s.Serve(l) }()
	select {
	case err := <-ended:
		return err
	case <-ctx.Done():
	}
	leave()
	err := shutdown(s)
	return errors.Join(err, stopped(<-ended))
}

// stopped returns the error of what ended, unless it was asked to.
func stopped(err error) error {
	if errors.Is(err, context.Canceled) || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// registration keeps a process on the platform's list.
type registration struct {
	client *logservice.Client
	self   galenastair.ListedInstance
	ended  chan error
	cancel context.CancelFunc
}

// register announces self until leave; no platform address means no list.
func register(platformAddress string, self galenastair.ListedInstance) *registration {
	if platformAddress == "" {
		return nil
	}
	logger := log.NewLogfmtLogger(log.NewSyncWriter(os.Stderr))
	ctx, cancel := context.WithCancel(context.Background())
	r := &registration{logservice.New(platformAddress), self, make(chan error, 1), cancel}
	go func() {
		r.ended <- r.client.Register(ctx, func() galenastair.ListedInstance { return self }, func(err error) {
			_ = logger.Log("msg", "not registered", "id", self.ID, "err", err)
		})
	}()
	return r
}

// defaultNotice is how long a leaving process goes on taking requests: the list
// shows the mark with a lag, and until then requests still come.
const defaultNotice = 500 * time.Millisecond

// leave shows the leaving mark and waits until readers of the list can have seen it.
func (r *registration) leave(notice time.Duration) {
	if r == nil {
		return
	}
	r.cancel()
	_ = stopped(<-r.ended)
	r.self.Leaving = true
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = r.client.Announce(ctx, r.self)
	time.Sleep(notice)
}

// withdraw takes the process off the list.
func (r *registration) withdraw() {
	if r == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = r.client.Withdraw(ctx, r.self.ID)
	r.client.Close()
}
