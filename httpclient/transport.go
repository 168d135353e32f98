package httpclient

import (
	"context"
	"net"
	"net/http"
	"time"
)

const (
	// dialTimeout is far above the round-trip time between two zones (about 1 ms) and below
	// the time that a caller waits for the first token.
	dialTimeout = time.Second
	// idleConnTimeout is short because a pooled connection can fail without being closed. It
	// bounds how long a connection has been idle when a request uses it.
	idleConnTimeout = 15 * time.Second
	// maxIdleConnsPerServer allows 10,000 short requests per second to reuse connections to one server.
	maxIdleConnsPerServer = 512
	// MaxHeadBytes bounds the head of a response. A server in trouble may send bytes without end, and net/http
	// accepts 10 MB for each request.
	MaxHeadBytes = 64 << 10
	// maxPeerBodyBytes bounds the body of another instance's response.
	maxPeerBodyBytes = 32 << 20
)

// NewTransport returns a transport that pools connections and tracks the writes on them.
func NewTransport() *http.Transport {
	d := net.Dialer{Timeout: dialTimeout, KeepAlive: 5 * time.Second}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := d.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &conn{Conn: c}, nil
		},
		MaxIdleConnsPerHost:    maxIdleConnsPerServer,
		IdleConnTimeout:        idleConnTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: MaxHeadBytes,
	}
}

// NewUnpooledTransport returns a transport that opens a new connection for each request.
func NewUnpooledTransport() *http.Transport {
	t := NewTransport()
	t.DisableKeepAlives = true
	return t
}

// limitedTransport is a transport whose response bodies end with an error after limit bytes.
type limitedTransport struct {
	*http.Transport
	limit int64
}

// RoundTrip implements http.RoundTripper.
func (t limitedTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := t.Transport.RoundTrip(req)
	if err == nil {
		resp.Body = http.MaxBytesReader(nil, resp.Body, t.limit)
	}
	return resp, err
}

// NewPeerClient returns a client of other instances, whose responses are read to their ends.
func NewPeerClient(t *http.Transport) *http.Client {
	return &http.Client{Transport: limitedTransport{t, maxPeerBodyBytes}}
}
