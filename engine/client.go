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
	// defaultSilence is three pings of an engine: a stream without a byte for so
	// long is taken for one that something in between has forgotten.
	defaultSilence = 3 * time.Second
	// controlTimeout ends an order or report that hangs.
	controlTimeout = 2 * time.Second
	// maxControl bounds the memory of one control answer.
	maxControl = 4 << 20
	// maxDetail bounds what is kept of an error's text.
	maxDetail = 4 << 10
)

// Client calls engines at the addresses that it is given.
type Client struct {
	pool    *httpclient.Pool
	silence time.Duration
}

var _ galenastair.Engine = (*Client)(nil)

// Option changes how a client is made.
type Option func(*Client)

// WithSilence sets how long a connection may show no byte before ErrSilent.
func WithSilence(d time.Duration) Option {
	return func(c *Client) { c.silence = d }
}

// New returns a client of all engines.
func New(opts ...Option) *Client {
	c := &Client{pool: httpclient.NewPool(), silence: defaultSilence}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Close closes idle connections.
func (c *Client) Close() { c.pool.Close() }

// control sends one request on the control paths and reads the answer into out.
func (c *Client) control(ctx context.Context, server, method, path string, in, out any) error {
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
	limited, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	tracked, sending := httpclient.WithRequestTrace(limited)
	resp, err := c.pool.Transport(server).RoundTrip(req.WithContext(tracked))
	if err != nil {
		return c.pool.ClassifyError(ctx, server, sending, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return refusal(resp)
	}
	// read to its end, as net/http closes the connection of a body that is not
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxControl))
	if err != nil || out == nil {
		return eris.Wrapf(err, "%s %s", method, path)
	}
	return eris.Wrapf(json.Unmarshal(answer, out), "%s %s", method, path)
}

// refusal names the cause of an answer with an error status.
func refusal(resp *http.Response) error {
	detail, _ := io.ReadAll(io.LimitReader(resp.Body, maxDetail))
	if resp.StatusCode == http.StatusNotFound && strings.HasPrefix(resp.Request.URL.Path, streamsPath) {
		return eris.Wrap(galenastair.ErrStreamGone, resp.Request.URL.Path)
	}
	switch resp.Header.Get(HeaderOutcome) {
	case OutcomeNotRun:
		return declined(resp, detail)
	case OutcomeStaleFence:
		return eris.Wrapf(galenastair.ErrStaleFence, "%s", detail)
	}
	return eris.Wrapf(galenastair.ErrBackendServer, "status %d: %s", resp.StatusCode, detail)
}
