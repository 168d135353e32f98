package httpclient

import (
	"net/http"
	"sync"
	"time"
)

// transportIdleTimeout is how long the transport of a server is kept without a request. Backend
// servers are replaced all day, and their transports would otherwise accumulate.
const transportIdleTimeout = 5 * time.Minute

type pooledTransport struct {
	transport *http.Transport
	lastUsed  time.Time
}

// Pool has one transport for each server, so that the connections to one server can be closed
// without affecting the others.
type Pool struct {
	mu       sync.Mutex
	byServer map[string]*pooledTransport
	unpooled *http.Transport
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	return &Pool{byServer: map[string]*pooledTransport{}, unpooled: NewUnpooledTransport()}
}

// Transport returns the transport of a server. It pools connections.
func (p *Pool) Transport(server string) *http.Transport {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	t, ok := p.byServer[server]
	if !ok {
		p.prune(now)
		t = &pooledTransport{transport: NewTransport()}
		p.byServer[server] = t
	}
	t.lastUsed = now
	return t.transport
}

// UnpooledTransport returns a transport that opens a new connection for each request.
func (p *Pool) UnpooledTransport() *http.Transport { return p.unpooled }

func (p *Pool) prune(now time.Time) {
	for server, t := range p.byServer {
		if now.Sub(t.lastUsed) > transportIdleTimeout {
			t.transport.CloseIdleConnections()
			delete(p.byServer, server)
		}
	}
}

// CloseIdle closes the idle connections to one server.
func (p *Pool) CloseIdle(server string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if t, ok := p.byServer[server]; ok {
		t.transport.CloseIdleConnections()
	}
}

// Close closes all idle connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, t := range p.byServer {
		t.transport.CloseIdleConnections()
	}
	p.unpooled.CloseIdleConnections()
}
