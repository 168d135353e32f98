package logservice

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"galenastair"
)

// HeartbeatInterval is the interval of heartbeats. The platform removes an instance from
// the list if it misses several heartbeats in a row.
const HeartbeatInterval = time.Second

// cachedList is the last list received and its ETag.
type cachedList struct {
	mu        sync.Mutex
	etag      string
	instances []galenastair.ListedInstance
}

// List returns the platform's list of running and leaving instances, which is eventually
// consistent.
//
// The request has the ETag of the last list in If-None-Match, so that an unchanged list
// costs a few hundred bytes instead of 48 KB for a region of the target size: each
// instance requests the list every second and may spend 6 KB/s on all control traffic.
// If the platform sends no ETag, each response has the full list.
func (c *Client) List(ctx context.Context) ([]galenastair.ListedInstance, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	c.listCache.mu.Lock()
	defer c.listCache.mu.Unlock()
	resp, err := c.getList(ctx)
	if err != nil {
		return nil, eris.Wrap(err, "GET /instances")
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusNotModified:
		return c.listCache.instances, nil
	case http.StatusOK:
	default:
		return nil, eris.Wrapf(errStatus, "GET /instances: status %d", resp.StatusCode)
	}
	// net/http only reuses a connection whose response body was read to the end
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return nil, eris.Wrap(err, "GET /instances")
	}
	var list ListResponse
	if err := json.Unmarshal(body, &list); err != nil {
		return nil, eris.Wrap(err, "GET /instances")
	}
	c.listCache.etag, c.listCache.instances = resp.Header.Get("ETag"), list.Instances
	return list.Instances, nil
}

func (c *Client) getList(ctx context.Context) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+"/instances", http.NoBody)
	if err != nil {
		return nil, err
	}
	if c.listCache.etag != "" {
		req.Header.Set("If-None-Match", c.listCache.etag)
	}
	return c.http.Do(req)
}

// Heartbeat registers an instance or renews its registration.
func (c *Client) Heartbeat(ctx context.Context, in galenastair.ListedInstance) error {
	return c.callJSON(ctx, http.MethodPost, "/instances", in, nil)
}

// Deregister removes an instance from the list.
func (c *Client) Deregister(ctx context.Context, id string) error {
	return c.callJSON(ctx, http.MethodDelete, "/instances/"+url.PathEscape(id), nil, nil)
}

// Register sends a heartbeat for the instance that self returns every HeartbeatInterval
// until the context ends. A failed heartbeat is passed to report and does not end
// Register, as the platform may be down for some time.
func (c *Client) Register(ctx context.Context, self func() galenastair.ListedInstance, report func(error)) error {
	tick := time.NewTicker(HeartbeatInterval)
	defer tick.Stop()
	for {
		if err := c.Heartbeat(ctx, self()); err != nil && ctx.Err() == nil {
			report(err)
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
