package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"galenastair"
	"galenastair/httpclient"
)

// Complete starts a request. Its error wraps ErrNotSent or ErrDeclined if the request
// has not run; with any other error it may have run.
func (c *Client) Complete(ctx context.Context, server string, comp galenastair.Completion) (galenastair.ResponseStream, error) {
	body, err := completionBody(comp)
	if err != nil {
		return nil, eris.Wrapf(galenastair.ErrNotSent, "%v", err)
	}
	path := "/v1/completions"
	if comp.Chat {
		path = "/v1/chat/completions"
	}
	req, err := httpclient.NewRequest(http.MethodPost, "http://"+server+path, body)
	if err != nil {
		return nil, eris.Wrapf(galenastair.ErrNotSent, "%v", err)
	}
	req.Header.Set("Content-Type", "application/json")
	return c.openStream(ctx, req, c.pool.Transport(server), comp.ID, 0)
}

// Resume continues a stream after the given sequence on a new connection.
func (c *Client) Resume(ctx context.Context, server string, id galenastair.RequestID, after int64) (galenastair.ResponseStream, error) {
	req, err := http.NewRequest(http.MethodGet, "http://"+server+streamPath(id), nil)
	if err != nil {
		return nil, eris.Wrapf(galenastair.ErrNotSent, "%v", err)
	}
	req.Header.Set(HeaderLastEventID, strconv.FormatInt(after, 10))
	c.pool.CloseIdle(server)
	return c.openStream(ctx, req, c.pool.UnpooledTransport(), id, after)
}

// openStream sends a request and returns the stream once the response headers have arrived.
func (c *Client) openStream(ctx context.Context, req *http.Request, t http.RoundTripper, id galenastair.RequestID, after int64) (galenastair.ResponseStream, error) {
	req.Header.Set(HeaderRequestID, string(id))
	req.Header.Set("Accept", "text/event-stream")
	tracked, sending := httpclient.WithRequestTrace(ctx)
	tracked, cancel := context.WithCancel(tracked)
	s := &stream{cancel: cancel, idleTimeout: c.idleTimeout, validator: eventValidator{id: id, nextSequence: after + 1}}
	s.timer = time.AfterFunc(c.idleTimeout, s.onIdleTimeout)
	resp, err := t.RoundTrip(req.WithContext(tracked))
	s.timer.Stop()
	if err != nil {
		cancel()
		if s.timedOut.Load() && !sending.NotSent() {
			c.pool.CloseIdle(req.URL.Host)
			return nil, eris.Wrap(galenastair.ErrProgressTimeout, "before the answer began")
		}
		return nil, c.pool.ClassifyError(ctx, req.URL.Host, sending, err)
	}
	if resp.StatusCode != http.StatusOK {
		defer cancel()
		defer resp.Body.Close()
		return nil, responseError(resp)
	}
	if got := resp.Header.Get(HeaderRequestID); got != string(id) {
		cancel()
		_ = resp.Body.Close()
		return nil, eris.Wrapf(galenastair.ErrInvalidResponse, "the answer is for request %q", got)
	}
	s.body = resp.Body
	s.events = newEventReader(resp.Body, s.resetTimer)
	return s, nil
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// completionBody returns the caller's body with the fields overridden that this
// system sets. The body is decoded into raw fields, since engines support fields that
// this system does not know. A duplicate field is sent once, so that the engine
// cannot read a different value from the one that admission control has checked.
func completionBody(comp galenastair.Completion) ([]byte, error) {
	fields := map[string]json.RawMessage{}
	if err := json.Unmarshal(comp.Body, &fields); err != nil {
		return nil, eris.Wrap(err, "the body is no JSON object")
	}
	set := func(name string, v any) error {
		raw, err := json.Marshal(v)
		fields[name] = raw
		return err
	}
	if err := set("model", comp.Model); err != nil {
		return nil, err
	}
	if err := set("priority", comp.Priority); err != nil {
		return nil, err
	}
	if err := set("stream", true); err != nil {
		return nil, err
	}
	if err := set("stream_options", streamOptions{IncludeUsage: true}); err != nil {
		return nil, err
	}
	return json.Marshal(fields)
}
