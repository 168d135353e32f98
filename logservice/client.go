package logservice

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"galenastair/httpclient"
)

const (
	// defaultTimeout is well below the duration of a lease, so that a member still has time
	// to try another path after a timeout.
	defaultTimeout = 3 * time.Second
	// maxResponseBytes bounds the memory of a response.
	maxResponseBytes = 16 << 20
)

// errStatus is returned for responses with an error status.
var errStatus = eris.New("platform returned an error status")

// Client is a client of the platform at one address.
type Client struct {
	base      string
	http      *http.Client
	timeout   time.Duration
	listCache cachedList
}

// Option configures a Client.
type Option func(*Client)

// WithTimeout sets the timeout of a call. Read adds the time that it may wait for records.
func WithTimeout(d time.Duration) Option {
	return func(c *Client) { c.timeout = d }
}

// New returns a client of the platform at address, which has the form IP:port.
func New(address string, opts ...Option) *Client {
	c := &Client{
		base:    "http://" + address,
		http:    &http.Client{Transport: httpclient.NewTransport(), CheckRedirect: noRedirect},
		timeout: defaultTimeout,
	}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// noRedirect prevents a redirect from sending an append a second time to another address.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// do sends a request and returns the response's status and body.
func (c *Client) do(ctx context.Context, method, path string, body []byte) (int, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	return resp.StatusCode, data, err
}

// callJSON sends in as JSON and decodes the JSON response into out; either may be nil.
func (c *Client) callJSON(ctx context.Context, method, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var body []byte
	if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			return err
		}
		body = b
	}
	status, data, err := c.do(ctx, method, path, body)
	if err != nil {
		return eris.Wrapf(err, "%s %s", method, path)
	}
	if status != http.StatusOK {
		return eris.Wrapf(errStatus, "%s %s: status %d", method, path, status)
	}
	if out == nil {
		return nil
	}
	return eris.Wrapf(json.Unmarshal(data, out), "%s %s", method, path)
}
