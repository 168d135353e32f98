package httpconn

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"galenastair"
	"galenastair/sockbuf"
)

const (
	// dialTimeout is about a hundred round trips between availability zones. A machine that
	// is down does not reply, so that callers wait for the whole timeout.
	dialTimeout = 400 * time.Millisecond
	// idleTimeout is shorter than the usual keep-alive timeouts of servers, so that idle
	// connections are closed by this side first.
	idleTimeout = 8 * time.Second
	// idleMargin is subtracted from the keep-alive timeout that the peer announces: if the
	// peer closes a connection while a request is written, the request may have run or not.
	idleMargin = time.Second
	// maxIdlePerAddress bounds the idle connections to an address. More are needed only in
	// bursts, and all instances share the connections that a server accepts.
	maxIdlePerAddress = 6
	// readBufferBytes is enough for the headers of a response; bodies are read in parts.
	readBufferBytes = 3 << 10
)

// DialFunc opens a TCP connection to an address.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Pool is a pool of connections by address.
type Pool struct {
	dialContext DialFunc

	mu        sync.Mutex
	idle      map[string][]*Conn
	openCount map[string]int
}

// Option configures a Pool.
type Option func(*Pool)

// WithDialer replaces the function that opens connections.
func WithDialer(dial DialFunc) Option { return func(p *Pool) { p.dialContext = dial } }

// WithSocketBuffers sets the size of the send and receive buffers of the connections' sockets. Without it,
// the kernel lets them grow to some megabytes.
func WithSocketBuffers(n int) Option {
	return func(p *Pool) {
		d := newDialer()
		d.Control = sockbuf.Control(n)
		p.dialContext = d.DialContext
	}
}

func newDialer() net.Dialer { return net.Dialer{Timeout: dialTimeout, KeepAlive: 5 * time.Second} }

// NewPool returns an empty pool.
func NewPool(opts ...Option) *Pool {
	dialer := newDialer()
	p := &Pool{
		dialContext: dialer.DialContext,
		idle:        map[string][]*Conn{},
		openCount:   map[string]int{},
	}
	for _, o := range opts {
		o(p)
	}
	return p
}

// Conn is a connection. It carries one request at a time.
type Conn struct {
	net.Conn
	pool    *Pool
	address string
	head    *headReader
	reader  *bufio.Reader
	// Reused is set if the connection has carried a request before.
	Reused bool
	// Incarnation is the start time of the process at the other end, 0 if it has not been asked.
	Incarnation atomic.Int64
	// broken is set if a request could not be written completely.
	broken      bool
	expiresAt   time.Time
	discardOnce sync.Once
}

// Get returns an idle connection to the address that is not known to be closed, or dials
// a new one.
func (p *Pool) Get(ctx context.Context, address string) (*Conn, error) {
	for {
		c := p.popIdle(address)
		if c == nil {
			return p.Dial(ctx, address)
		}
		if time.Now().Before(c.expiresAt) && isReusable(c.Conn) {
			return c, nil
		}
		c.Discard()
	}
}

func (p *Pool) popIdle(address string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	return c
}

// Dial opens a new connection.
func (p *Pool) Dial(ctx context.Context, address string) (*Conn, error) {
	conn, err := p.dialContext(ctx, "tcp", address)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return nil, fmt.Errorf("dial %s: %w: %w", address, galenastair.ErrConnectionRefused, galenastair.ErrNotSent)
	}
	if err != nil {
		return nil, eris.Wrapf(galenastair.ErrNotSent, "dial %s: %v", address, err)
	}
	p.mu.Lock()
	p.openCount[address]++
	p.mu.Unlock()
	head := &headReader{Reader: conn}
	return &Conn{Conn: conn, pool: p, address: address, head: head, reader: bufio.NewReaderSize(head, readBufferBytes)}, nil
}

// Release returns the connection to the pool. No request may have been sent on it since Get.
func (c *Conn) Release() { c.pool.putIdle(c, 0) }

// putIdle returns a connection to the pool whose last response was read completely, or
// closes it if the pool is full. peerTimeout is the keep-alive timeout that the peer
// announced, or zero.
func (p *Pool) putIdle(c *Conn, peerTimeout time.Duration) {
	idle := idleTimeout
	if peerTimeout > 0 {
		idle = min(idle, peerTimeout-idleMargin)
	}
	c.expiresAt = time.Now().Add(idle)
	p.mu.Lock()
	full := len(p.idle[c.address]) >= maxIdlePerAddress
	if !full && idle > 0 {
		p.idle[c.address] = append(p.idle[c.address], c)
	}
	p.mu.Unlock()
	if full || idle <= 0 {
		c.Discard()
	}
}

// Discard closes the connection without returning it to the pool.
func (c *Conn) Discard() {
	c.discardOnce.Do(func() {
		_ = c.Close()
		c.pool.mu.Lock()
		defer c.pool.mu.Unlock()
		c.pool.openCount[c.address]--
		if c.pool.openCount[c.address] <= 0 {
			delete(c.pool.openCount, c.address)
		}
	})
}

// OpenConnections returns the number of open connections to an address, idle or in use.
func (p *Pool) OpenConnections(address string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.openCount[address]
}

// CloseExpired closes idle connections that have expired. Without it, connections to a
// backend server that is gone would stay open forever, as Get only closes expired
// connections to the address that it is called with.
func (p *Pool) CloseExpired(now time.Time) {
	var expired []*Conn
	p.mu.Lock()
	for address, list := range p.idle {
		live := list[:0]
		for _, c := range list {
			if now.Before(c.expiresAt) {
				live = append(live, c)
			} else {
				expired = append(expired, c)
			}
		}
		p.idle[address] = live
		if len(live) == 0 {
			delete(p.idle, address)
		}
	}
	p.mu.Unlock()
	for _, c := range expired {
		c.Discard()
	}
}
