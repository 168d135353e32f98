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

// HeartbeatPeriod is how often a registered instance shows that it lives; the
// platform drops one that is silent for several periods.
const HeartbeatPeriod = time.Second

// listCache is the last list that was read, with the tag that the platform gave it.
type listCache struct {
	mu        sync.Mutex
	tag       string
	instances []galenastair.ListedInstance
}

// List returns the platform's lagging list of live and leaving instances.
//
// The list is asked for with the tag of the last one, so that an unchanged list
// costs a few hundred bytes and not 48 KB, as that of a region of the target does:
// each instance reads it every second, and 6 KB a second is all it may spend. A
// platform that gives no tags is read whole each time.
func (c *Client) List(ctx context.Context) ([]galenastair.ListedInstance, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	c.list.mu.Lock()
	defer c.list.mu.Unlock()
	resp, err := c.getList(ctx)
	if err != nil {
		return nil, eris.Wrap(err, "GET /instances")
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusNotModified:
		return c.list.instances, nil
	case http.StatusOK:
	default:
		return nil, eris.Wrapf(errStatus, "GET /instances: status %d", resp.StatusCode)
	}
	// read to its end, as net/http closes the connection of a body that is not
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return nil, eris.Wrap(err, "GET /instances")
	}
	var answer ListAnswer
	if err := json.Unmarshal(body, &answer); err != nil {
		return nil, eris.Wrap(err, "GET /instances")
	}
	c.list.tag, c.list.instances = resp.Header.Get("ETag"), answer.Instances
	return answer.Instances, nil
}

func (c *Client) getList(ctx context.Context) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+"/instances", http.NoBody)
	if err != nil {
		return nil, err
	}
	if c.list.tag != "" {
		req.Header.Set("If-None-Match", c.list.tag)
	}
	return c.http.Do(req)
}

// Announce registers an instance or renews its registration once.
func (c *Client) Announce(ctx context.Context, in galenastair.ListedInstance) error {
	return c.call(ctx, http.MethodPost, "/instances", in, nil)
}

// Withdraw takes an instance off the list.
func (c *Client) Withdraw(ctx context.Context, id string) error {
	return c.call(ctx, http.MethodDelete, "/instances/"+url.PathEscape(id), nil, nil)
}

// Register announces what self returns each period until the context ends; a
// failed heartbeat is reported and tried again, as the platform can be down.
func (c *Client) Register(ctx context.Context, self func() galenastair.ListedInstance, report func(error)) error {
	tick := time.NewTicker(HeartbeatPeriod)
	defer tick.Stop()
	for {
		if err := c.Announce(ctx, self()); err != nil && ctx.Err() == nil {
			report(err)
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
