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
	// maxErrorDetailBytes bounds the text of an error response that is kept.
	maxErrorDetailBytes = 4 << 10
	// maxStatus is the highest status that HTTP has.
	maxStatus = 599
)

// Client sends requests to plain services.
type Client struct {
	pool *httpclient.Pool
}

var _ galenastair.Service = (*Client)(nil)

// New returns a Client for plain services at any address.
func New() *Client { return &Client{pool: httpclient.NewPool()} }

// Close closes idle connections.
func (c *Client) Close() { c.pool.Close() }

// Call sends a request. An error that wraps ErrNotSent or ErrDeclined means that the
// service did not execute it.
func (c *Client) Call(ctx context.Context, server string, call galenastair.ServiceRequest) (galenastair.ServiceResponse, error) {
	req, err := newRequest(server, call)
	if err != nil {
		return galenastair.ServiceResponse{}, eris.Wrapf(galenastair.ErrNotSent, "%v", err)
	}
	tracked, sending := httpclient.WithRequestTrace(ctx)
	resp, err := c.pool.Transport(server).RoundTrip(req.WithContext(tracked))
	if err != nil {
		return galenastair.ServiceResponse{}, c.pool.ClassifyError(ctx, server, sending, err)
	}
	if resp.StatusCode < http.StatusOK || resp.StatusCode > maxStatus {
		_ = resp.Body.Close()
		return galenastair.ServiceResponse{}, eris.Wrapf(galenastair.ErrInvalidResponse, "status %03d", resp.StatusCode)
	}
	if resp.StatusCode >= http.StatusBadRequest && resp.Header.Get(headerOutcome) == outcomeNotRun {
		defer resp.Body.Close()
		detail, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorDetailBytes))
		return galenastair.ServiceResponse{}, eris.Wrapf(galenastair.ErrDeclined, "status %d: %s", resp.StatusCode, detail)
	}
	httpclient.RemoveNonForwardedHeaders(resp.Header)
	body := resp.Body
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && body != http.NoBody {
		body = httpclient.CloseDelimitedBody(ctx, body, func() error { return c.confirmListening(ctx, server) })
	}
	return galenastair.ServiceResponse{
		Status:        resp.StatusCode,
		Header:        resp.Header,
		Body:          body,
		ContentLength: resp.ContentLength,
	}, nil
}

// confirmListening returns nil if something listens on the address of a server.
func (c *Client) confirmListening(ctx context.Context, server string) error {
	conn, err := c.pool.Transport(server).DialContext(ctx, "tcp", server)
	if err != nil {
		return err
	}
	return conn.Close()
}

func newRequest(server string, call galenastair.ServiceRequest) (*http.Request, error) {
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
