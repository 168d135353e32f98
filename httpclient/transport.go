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
		MaxIdleConnsPerHost: maxIdleConnsPerServer,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
	}
}

// NewUnpooledTransport returns a transport that opens a new connection for each request.
func NewUnpooledTransport() *http.Transport {
	t := NewTransport()
	t.DisableKeepAlives = true
	return t
}
