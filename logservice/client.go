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
	// defaultTimeout ends a call to a platform that hangs; well under a lease,
	// so that a member can still try another way.
	defaultTimeout = 3 * time.Second
	// maxAnswer bounds the memory that one answer can take.
	maxAnswer = 16 << 20
)

// errStatus says that the platform answered with an error status.
var errStatus = eris.New("the platform answered with an error")

// Client speaks to one address of the platform.
type Client struct {
	base    string
	http    *http.Client
	timeout time.Duration
	list    listCache
}

// Option changes how a client is made.
type Option func(*Client)

// WithTimeout sets after how long a call without an answer is given up.
func WithTimeout(d time.Duration) Option {
	return func(c *Client) { c.timeout = d }
}

// New returns a client of the platform at an address of the form IP:port.
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

// noRedirect keeps an append from being sent a second time to another place.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// do sends one request and returns the status and the whole body.
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
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	return resp.StatusCode, answer, err
}

// call sends a JSON request and reads a JSON answer into out unless it is nil.
func (c *Client) call(ctx context.Context, method, path string, in, out any) error {
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
	status, answer, err := c.do(ctx, method, path, body)
	if err != nil {
		return eris.Wrapf(err, "%s %s", method, path)
	}
	if status != http.StatusOK {
		return eris.Wrapf(errStatus, "%s %s: status %d", method, path, status)
	}
	if out == nil {
		return nil
	}
	return eris.Wrapf(json.Unmarshal(answer, out), "%s %s", method, path)
}
