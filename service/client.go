package service

import (
	"context"
	"io"
	"net/http"

	"github.com/rotisserie/eris"

	"galenastair"
	"galenastair/httpclient"
)

const (
	headerRequestID = "X-Request-Id"
	headerOutcome   = "X-Outcome"
	outcomeNotRun   = "NotRun"
	// maxDetail bounds what is kept of an error's text.
	maxDetail = 4 << 10
)

// Client calls plain services at the addresses that it is given.
type Client struct {
	pool *httpclient.Pool
}

var _ galenastair.Service = (*Client)(nil)

// New returns a client of all plain services.
func New() *Client { return &Client{pool: httpclient.NewPool()} }

// Close closes idle connections.
func (c *Client) Close() { c.pool.Close() }

// Call sends one call; its error wraps ErrNotSent or ErrDeclined when it certainly did not run.
func (c *Client) Call(ctx context.Context, server string, call galenastair.ServiceCall) (galenastair.ServiceAnswer, error) {
	req, err := request(server, call)
	if err != nil {
		return galenastair.ServiceAnswer{}, eris.Wrapf(galenastair.ErrNotSent, "%v", err)
	}
	tracked, sending := httpclient.WithRequestTrace(ctx)
	resp, err := c.pool.Transport(server).RoundTrip(req.WithContext(tracked))
	if err != nil {
		return galenastair.ServiceAnswer{}, c.pool.ClassifyError(ctx, server, sending, err)
	}
	if resp.StatusCode >= http.StatusBadRequest && resp.Header.Get(headerOutcome) == outcomeNotRun {
		defer resp.Body.Close()
		detail, _ := io.ReadAll(io.LimitReader(resp.Body, maxDetail))
		return galenastair.ServiceAnswer{}, eris.Wrapf(galenastair.ErrDeclined, "status %d: %s", resp.StatusCode, detail)
	}
	httpclient.RemoveNonForwardedHeaders(resp.Header)
	return galenastair.ServiceAnswer{
		Status: resp.StatusCode,
		Header: resp.Header,
		Body:   resp.Body,
		Length: resp.ContentLength,
	}, nil
}

func request(server string, call galenastair.ServiceCall) (*http.Request, error) {
	url := "http://" + server + call.Path
	if call.Query != "" {
		url += "?" + call.Query
	}
	req, err := httpclient.NewRequest(call.Method, url, call.Body)
	if err != nil {
		return nil, err
	}
	if call.Header != nil {
		req.Header = call.Header.Clone()
	}
	httpclient.RemoveNonForwardedHeaders(req.Header)
	req.Header.Set(headerRequestID, string(call.ID))
	return req, nil
}
