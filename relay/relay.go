package relay

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
)

// Relay forwards from its own address to a target.
type Relay struct {
	target  string
	address string
	ended   errgroup.Group
	bytes   atomic.Int64

	mu       sync.Mutex
	listener net.Listener
	links    map[*link]struct{}
	delay    time.Duration
	accepted int
	closed   bool
}

// Option changes how a relay is made.
type Option func(*Relay)

// WithAddress makes a relay listen at an address instead of a free port.
func WithAddress(address string) Option { return func(r *Relay) { r.address = address } }

// New listens and forwards to target; Close ends it.
func New(target string, opts ...Option) (*Relay, error) {
	r := &Relay{target: target, address: "127.0.0.1:0", links: map[*link]struct{}{}}
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
	r.ended.Go(func() error { return r.accept(l) })
	return nil
}

// Address is where clients connect.
func (r *Relay) Address() string { return r.address }

// accept takes connections until its listener is closed.
func (r *Relay) accept(l net.Listener) error {
	for {
		near, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return err
		}
		far, err := net.DialTimeout("tcp", r.target, time.Second)
		if err != nil {
			_ = near.Close()
			continue
		}
		r.forward(&link{relay: r, near: near, far: far})
	}
}

func (r *Relay) forward(l *link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		_ = l.near.Close()
		_ = l.far.Close()
		return
	}
	r.accepted++
	r.links[l] = struct{}{}
	r.ended.Go(func() error { return l.copy(l.far, l.near) })
	r.ended.Go(func() error { return l.copy(l.near, l.far) })
}

func (r *Relay) forget(l *link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.links, l)
}

// Accepted returns how many connections have been forwarded so far.
func (r *Relay) Accepted() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.accepted
}

// Bytes returns how many bytes have been forwarded so far, both ways together.
func (r *Relay) Bytes() int64 { return r.bytes.Load() }

// Delay makes each piece of data wait before it is forwarded.
func (r *Relay) Delay(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = d
}

func (r *Relay) currentDelay() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.delay
}

// Cut closes the connections that are open now.
func (r *Relay) Cut() {
	for _, l := range r.open() {
		l.close()
	}
}

// Silence keeps the connections that are open now, and swallows all that comes on them.
func (r *Relay) Silence() {
	for _, l := range r.open() {
		l.silent.Store(true)
	}
}

func (r *Relay) open() []*link {
	r.mu.Lock()
	defer r.mu.Unlock()
	links := make([]*link, 0, len(r.links))
	for l := range r.links {
		links = append(links, l)
	}
	return links
}

// Down refuses new connections until Up; open ones go on.
func (r *Relay) Down() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.listener.Close()
}

// Up takes new connections again at the same address.
func (r *Relay) Up() error { return r.listen(r.address) }

// Close ends the relay and waits for its goroutines.
func (r *Relay) Close() {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	r.Down()
	r.Cut()
	_ = r.ended.Wait()
}
