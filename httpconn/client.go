package httpconn

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"galenastair"
)

const (
	// dialTimeout is some hundred round trips between availability zones; an address
	// without power answers nothing, and its callers wait meanwhile.
	dialTimeout = 400 * time.Millisecond
	// idleTimeout closes kept connections before a peer with common settings does.
	idleTimeout = 8 * time.Second
	// idleMargin is how long before the peer's own announced timeout a connection is
	// given up: a request written as the peer closes may or may not have run.
	idleMargin = time.Second
	// idlePerAddress bounds kept connections; more are needed only in bursts, and
	// peers share their connections among all instances.
	idlePerAddress = 6
	// bufferBytes holds the head of an answer; bodies pass through in pieces.
	bufferBytes = 3 << 10
)

// Client keeps connections by address.
type Client struct {
	dialer net.Dialer

	mu   sync.Mutex
	idle map[string][]*Conn
	open map[string]int
}

// NewClient returns a client without connections.
func NewClient() *Client {
	return &Client{
		dialer: net.Dialer{Timeout: dialTimeout, KeepAlive: 5 * time.Second},
		idle:   map[string][]*Conn{},
		open:   map[string]int{},
	}
}

// Conn is one connection; one request at a time may use it.
type Conn struct {
	net.Conn
	client  *Client
	address string
	reader  *bufio.Reader
	// Kept says that the connection has carried a request before.
	Kept    bool
	expires time.Time
	closed  sync.Once
}

// Get returns a kept connection that looks alive, or a new one.
func (c *Client) Get(ctx context.Context, address string) (*Conn, error) {
	for {
		k := c.take(address)
		if k == nil {
			return c.dial(ctx, address)
		}
		if time.Now().Before(k.expires) && quiet(k.Conn) {
			return k, nil
		}
		k.Discard()
	}
}

func (c *Client) take(address string) *Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[address]
	if len(list) == 0 {
		return nil
	}
	k := list[len(list)-1]
	c.idle[address] = list[:len(list)-1]
	return k
}

func (c *Client) dial(ctx context.Context, address string) (*Conn, error) {
	n, err := c.dialer.DialContext(ctx, "tcp", address)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return nil, fmt.Errorf("dial %s: %w: %w", address, galenastair.ErrAbsent, galenastair.ErrNotSent)
	}
	if err != nil {
		return nil, eris.Wrapf(galenastair.ErrNotSent, "dial %s: %v", address, err)
	}
	c.mu.Lock()
	c.open[address]++
	c.mu.Unlock()
	return &Conn{Conn: n, client: c, address: address, reader: bufio.NewReaderSize(n, bufferBytes)}, nil
}

// Release hands back a connection on which nothing was sent.
func (k *Conn) Release() { k.client.keep(k, 0) }

// keep takes a connection back whose answer has ended cleanly; peerIdle is the idle
// timeout that the peer announced, or zero.
func (c *Client) keep(k *Conn, peerIdle time.Duration) {
	idle := idleTimeout
	if peerIdle > 0 {
		idle = min(idle, peerIdle-idleMargin)
	}
	k.expires = time.Now().Add(idle)
	c.mu.Lock()
	full := len(c.idle[k.address]) >= idlePerAddress
	if !full && idle > 0 {
		c.idle[k.address] = append(c.idle[k.address], k)
	}
	c.mu.Unlock()
	if full || idle <= 0 {
		k.Discard()
	}
}

// Discard closes the connection.
func (k *Conn) Discard() {
	k.closed.Do(func() {
		_ = k.Close()
		k.client.mu.Lock()
		defer k.client.mu.Unlock()
		k.client.open[k.address]--
		if k.client.open[k.address] <= 0 {
			delete(k.client.open, k.address)
		}
	})
}

// Open returns how many connections to an address are open.
func (c *Client) Open(address string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open[address]
}

// Prune closes kept connections that have expired; without it those to a backend
// server that is gone would stay open for good.
func (c *Client) Prune(now time.Time) {
	var expired []*Conn
	c.mu.Lock()
	for address, list := range c.idle {
		live := list[:0]
		for _, k := range list {
			if now.Before(k.expires) {
				live = append(live, k)
			} else {
				expired = append(expired, k)
			}
		}
		c.idle[address] = live
		if len(live) == 0 {
			delete(c.idle, address)
		}
	}
	c.mu.Unlock()
	for _, k := range expired {
		k.Discard()
	}
}
