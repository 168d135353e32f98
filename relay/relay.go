package relay

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
)

// Relay forwards connections from its own address to a target.
type Relay struct {
	target         string
	address        string
	goroutines     errgroup.Group
	forwardedBytes atomic.Int64

	mu       sync.Mutex
	listener net.Listener
	conns    map[*proxiedConn]struct{}
	delay    time.Duration
	accepted int
	closed   bool
}

// Option configures a Relay.
type Option func(*Relay)

// WithAddress sets the listen address; by default a relay listens on a free port of
// 127.0.0.1.
func WithAddress(address string) Option { return func(r *Relay) { r.address = address } }

// New starts a relay that forwards to target; Close stops it.
func New(target string, opts ...Option) (*Relay, error) {
	r := &Relay{target: target, address: "127.0.0.1:0", conns: map[*proxiedConn]struct{}{}}
	for _, opt := range opts {
		opt(r)
	}
	if err := r.listen(r.address); err != nil {
		return nil, err
	}
	r.address = r.listener.Addr().String()
	return r, nil
}

func (r *Relay) listen(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.listener = l
	r.mu.Unlock()
	r.goroutines.Go(func() error { return r.accept(l) })
	return nil
}

// Address returns the address that the relay listens on.
func (r *Relay) Address() string { return r.address }

// accept accepts connections until the listener is closed.
func (r *Relay) accept(l net.Listener) error {
	for {
		downstream, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return err
		}
		upstream, err := net.DialTimeout("tcp", r.target, time.Second)
		if err != nil {
			_ = downstream.Close()
			continue
		}
		r.forward(&proxiedConn{relay: r, downstream: downstream, upstream: upstream})
	}
}

func (r *Relay) forward(c *proxiedConn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		_ = c.downstream.Close()
		_ = c.upstream.Close()
		return
	}
	r.accepted++
	r.conns[c] = struct{}{}
	r.goroutines.Go(func() error { return c.copy(c.upstream, c.downstream) })
	r.goroutines.Go(func() error { return c.copy(c.downstream, c.upstream) })
}

func (r *Relay) remove(c *proxiedConn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, c)
}

// Accepted returns the number of connections forwarded so far.
func (r *Relay) Accepted() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.accepted
}

// ForwardedBytes returns the number of bytes forwarded so far in both directions.
func (r *Relay) ForwardedBytes() int64 { return r.forwardedBytes.Load() }

// SetDelay sets the delay before each read of up to 32 KB is forwarded.
func (r *Relay) SetDelay(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = d
}

func (r *Relay) currentDelay() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.delay
}

// CloseConns resets the open connections.
func (r *Relay) CloseConns() {
	for _, c := range r.openConns() {
		c.reset()
	}
}

// Blackhole keeps the open connections open and discards all data received on them.
func (r *Relay) Blackhole() {
	for _, c := range r.openConns() {
		c.blackholed.Store(true)
	}
}

func (r *Relay) openConns() []*proxiedConn {
	r.mu.Lock()
	defer r.mu.Unlock()
	conns := make([]*proxiedConn, 0, len(r.conns))
	for c := range r.conns {
		conns = append(conns, c)
	}
	return conns
}

// StopListening refuses new connections until ResumeListening is called. Open connections
// are not affected.
func (r *Relay) StopListening() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.listener.Close()
}

// ResumeListening accepts new connections again, on the same address.
func (r *Relay) ResumeListening() error { return r.listen(r.address) }

// Close stops the relay and waits for its goroutines.
func (r *Relay) Close() {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	r.StopListening()
	r.CloseConns()
	_ = r.goroutines.Wait()
}
