package engine

import (
	"context"
	"fmt"
	"net/http"
	"net/url"

	"galenastair"
)

// SendOrder sends an order. Its error wraps ErrNotSent, ErrDeclined or ErrStaleFence if the
// engine has not acted on the order; with any other error it may have.
func (c *Client) SendOrder(ctx context.Context, server string, o galenastair.Order) error {
	return c.callControl(ctx, server, http.MethodPost, "/control/orders", o, nil)
}

// Report returns an engine's status report.
func (c *Client) Report(ctx context.Context, server string) (galenastair.EngineReport, error) {
	var r galenastair.EngineReport
	err := c.callControl(ctx, server, http.MethodGet, "/control/report", nil, &r)
	return r, err
}

// CacheEvents returns the cache events published so far after the given sequence.
func (c *Client) CacheEvents(ctx context.Context, server string, after int64) ([]galenastair.CacheEvent, error) {
	var resp EventsResponse
	path := fmt.Sprintf("/control/events?after=%d", after)
	err := c.callControl(ctx, server, http.MethodGet, path, nil, &resp)
	return resp.Events, err
}

// Transfer exports or imports the KV cache of one prefix and returns the engine's response.
func (c *Client) Transfer(ctx context.Context, server string, t CacheTransfer) (CacheTransfer, error) {
	var resp CacheTransfer
	err := c.callControl(ctx, server, http.MethodPost, "/control/kv", t, &resp)
	return resp, err
}

// Cancel stops a request on an engine.
func (c *Client) Cancel(ctx context.Context, server string, id galenastair.RequestID) error {
	return c.callControl(ctx, server, http.MethodDelete, streamPath(id), nil, nil)
}

const streamsPath = "/v1/streams/"

func streamPath(id galenastair.RequestID) string {
	return streamsPath + url.PathEscape(string(id))
}
