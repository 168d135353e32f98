package member

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"galenastair/httpclient"
	"galenastair/peer/memberpb"
)

// idleConnTimeout is short because most calls to members that are not neighbours are not repeated soon.
const idleConnTimeout = 5 * time.Second

func newTransport() *http.Transport {
	dialer := &net.Dialer{Timeout: time.Second}
	return &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: 1,
		IdleConnTimeout: idleConnTimeout, DisableCompression: true, MaxResponseHeaderBytes: httpclient.MaxHeadBytes,
	}
}

// peers holds a client with its own connections for each peer address.
type peers struct {
	transport func() *http.Transport
	dial      func(address string) memberpb.Member
	mu        sync.Mutex
	clients   map[string]*peerClient
}

type peerClient struct {
	memberpb.Member
	transport *http.Transport
}

func newPeers(transport func() *http.Transport, dial func(string) memberpb.Member) *peers {
	return &peers{transport: transport, dial: dial, clients: make(map[string]*peerClient)}
}

func (p *peers) client(address string) *peerClient {
	p.mu.Lock()
	defer p.mu.Unlock()
	c, ok := p.clients[address]
	if !ok {
		c = p.connect(address)
		p.clients[address] = c
	}
	return c
}

func (p *peers) connect(address string) *peerClient {
	if p.dial != nil {
		return &peerClient{Member: p.dial(address)}
	}
	t := p.transport()
	return &peerClient{memberpb.NewMemberProtobufClient("http://"+address, &http.Client{Transport: t}), t}
}

// drop removes a client after a failed call, so that the next call opens a new connection.
//
// If a firewall or another device between two instances drops the state of a connection, calls on
// it time out indefinitely while new connections work. Because every failed call drops all connections
// to the peer, the next heartbeat, a second later and within the lease, opens a new one.
func (p *peers) drop(address string, c *peerClient) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.clients[address] == c {
		delete(p.clients, address)
	}
	c.close()
}

// retain removes the clients of all members that are not in the ring.
func (p *peers) retain(ring []Member) {
	present := make(map[string]bool, len(ring))
	for _, m := range ring {
		present[m.PeerAddress] = true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, c := range p.clients {
		if !present[address] {
			c.close()
			delete(p.clients, address)
		}
	}
}

func (p *peers) close() { p.retain(nil) }

func (c *peerClient) close() {
	if c.transport != nil {
		c.transport.CloseIdleConnections()
	}
}

// call makes one call with a timeout and drops the peer's connections if it fails.
func call[Q, A any](ctx context.Context, r *Runtime, to Member, req Q,
	method func(memberpb.Member, context.Context, Q) (A, error),
) (A, error) {
	ctx, cancel := context.WithTimeout(ctx, r.timing.CallTimeout)
	defer cancel()
	c := r.peers.client(to.PeerAddress)
	reply, err := method(c.Member, ctx, req)
	if err != nil {
		r.peers.drop(to.PeerAddress, c)
	}
	return reply, err
}
