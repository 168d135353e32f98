package engine

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"galenastair"
	"galenastair/httpclient"
)

const (
	// defaultIdleTimeout is three ping intervals of an engine. A stream without a byte
	// for that long has probably been dropped by a network device on the path.
	defaultIdleTimeout = 3 * time.Second
	// controlTimeout bounds a request on a control path.
	controlTimeout = 2 * time.Second
	// maxControlResponseBytes bounds the memory of a control response.
	maxControlResponseBytes = 4 << 20
	// maxErrorDetailBytes bounds how much of an error response's body is kept.
	maxErrorDetailBytes = 4 << 10
)

// Client calls engines by address.
type Client struct {
	pool        *httpclient.Pool
	idleTimeout time.Duration
}

var _ galenastair.Engine = (*Client)(nil)

// Option configures a Client.
type Option func(*Client)

// WithIdleTimeout sets how long a stream may receive no byte before it fails with ErrProgressTimeout.
func WithIdleTimeout(d time.Duration) Option {
	return func(c *Client) { c.idleTimeout = d }
}

// New returns a client, which can be used for any number of engines.
func New(opts ...Option) *Client {
	c := &Client{pool: httpclient.NewPool(), idleTimeout: defaultIdleTimeout}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Close closes idle connections.
func (c *Client) Close() { c.pool.Close() }

// callControl sends a request on a control path and decodes the response into out
// unless out is nil.
func (c *Client) callControl(ctx context.Context, server, method, path string, in, out any) error {
	var body []byte
	if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			return eris.Wrapf(galenastair.ErrNotSent, "%v", err)
		}
		body = b
	}
	req, err := httpclient.NewRequest(method, "http://"+server+path, body)
	if err != nil {
		return eris.Wrapf(galenastair.ErrNotSent, "%v", err)
	}
	timeoutCtx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	tracked, sending := httpclient.WithRequestTrace(timeoutCtx)
	resp, err := c.pool.Transport(server).RoundTrip(req.WithContext(tracked))
	if err != nil {
		return c.pool.ClassifyError(ctx, server, sending, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return responseError(resp)
	}
	// net/http only reuses a connection whose response body was read to the end
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxControlResponseBytes))
	if err != nil || out == nil {
		return eris.Wrapf(err, "%s %s", method, path)
	}
	return eris.Wrapf(json.Unmarshal(data, out), "%s %s", method, path)
}

// responseError maps a response with an error status to an error.
func responseError(resp *http.Response) error {
	detail, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorDetailBytes))
	if resp.StatusCode == http.StatusNotFound && strings.HasPrefix(resp.Request.URL.Path, streamsPath) {
		return eris.Wrap(galenastair.ErrStreamNotFound, resp.Request.URL.Path)
	}
	switch resp.Header.Get(HeaderOutcome) {
	case OutcomeNotRun:
		return newDeclinedError(resp, detail)
	case OutcomeStaleFence:
		return eris.Wrapf(galenastair.ErrStaleFence, "%s", detail)
	}
	return eris.Wrapf(galenastair.ErrBackendFailed, "status %d: %s", resp.StatusCode, detail)
}
