package engine

import (
	"context"
	"fmt"
	"net/http"
	"net/url"

	"galenastair"
)

// Order sends one order; its error tells whether the engine can have acted on it.
func (c *Client) Order(ctx context.Context, server string, o galenastair.Order) error {
	return c.control(ctx, server, http.MethodPost, "/control/orders", o, nil)
}

// Report returns what an engine says about itself.
func (c *Client) Report(ctx context.Context, server string) (galenastair.EngineReport, error) {
	var r galenastair.EngineReport
	err := c.control(ctx, server, http.MethodGet, "/control/report", nil, &r)
	return r, err
}

// CacheEvents returns the cache events after a sequence that have come out by now.
func (c *Client) CacheEvents(ctx context.Context, server string, after int64) ([]galenastair.CacheEvent, error) {
	var answer EventsAnswer
	path := fmt.Sprintf("/control/events?after=%d", after)
	err := c.control(ctx, server, http.MethodGet, path, nil, &answer)
	return answer.Events, err
}

// Transfer exports or imports the KV cache of one prefix and returns it.
func (c *Client) Transfer(ctx context.Context, server string, t CacheTransfer) (CacheTransfer, error) {
	var answer CacheTransfer
	err := c.control(ctx, server, http.MethodPost, "/control/kv", t, &answer)
	return answer, err
}

// Cancel makes an engine stop a request.
func (c *Client) Cancel(ctx context.Context, server string, id galenastair.RequestID) error {
	return c.control(ctx, server, http.MethodDelete, streamPath(id), nil, nil)
}

const streamsPath = "/v1/streams/"

func streamPath(id galenastair.RequestID) string {
	return streamsPath + url.PathEscape(string(id))
}
