package httpclient

import (
	"net/http"
	"sync"
	"time"
)

// unusedAfter drops the transport of a server that nobody calls any more:
// replicas are replaced all day and must not pile up.
const unusedAfter = 5 * time.Minute

type pooled struct {
	transport *http.Transport
	used      time.Time
}

// Pool keeps one transport for each server, so that the connections of one can
// be dropped without touching the others.
type Pool struct {
	mu       sync.Mutex
	byServer map[string]*pooled
	fresh    *http.Transport
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	return &Pool{byServer: map[string]*pooled{}, fresh: NewFreshTransport()}
}

// For returns the pooling transport of a server.
func (p *Pool) For(server string) *http.Transport {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	t, ok := p.byServer[server]
	if !ok {
		p.prune(now)
		t = &pooled{transport: NewTransport()}
		p.byServer[server] = t
	}
	t.used = now
	return t.transport
}

// Fresh returns a transport that dials anew for each request.
func (p *Pool) Fresh() *http.Transport { return p.fresh }

func (p *Pool) prune(now time.Time) {
	for server, t := range p.byServer {
		if now.Sub(t.used) > unusedAfter {
			t.transport.CloseIdleConnections()
			delete(p.byServer, server)
		}
	}
}

// Forget closes the idle connections of one server.
func (p *Pool) Forget(server string) {
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
	p.fresh.CloseIdleConnections()
}
