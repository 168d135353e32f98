package httpclient

import (
	"context"
	"net"
	"net/http"
	"time"
)

const (
	// dialTimeout is far above the round trip between two zones (about 1 ms)
	// and below what a caller waits for a first token.
	dialTimeout = time.Second
	// idleTimeout is short, because a pooled connection can go silent unseen:
	// it bounds how old a connection is when a request meets it.
	idleTimeout = 15 * time.Second
	// idlePerServer lets 10,000 short requests/s reuse connections to one server.
	idlePerServer = 512
)

// NewTransport returns a pooling transport whose connections are tracked.
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
		MaxIdleConnsPerHost: idlePerServer,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
}

// NewFreshTransport returns a transport that dials anew for each request.
func NewFreshTransport() *http.Transport {
	t := NewTransport()
	t.DisableKeepAlives = true
	return t
}
