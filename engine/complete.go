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

// Complete starts a request; its error wraps ErrNotSent or ErrDeclined when it certainly did not run.
func (c *Client) Complete(ctx context.Context, server string, comp galenastair.Completion) (galenastair.AnswerStream, error) {
	body, err := streamBody(comp)
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
	return c.open(ctx, req, c.pool.Transport(server), comp.ID, 0)
}

// Resume continues an answer after the given sequence on a new connection.
func (c *Client) Resume(ctx context.Context, server string, id galenastair.RequestID, after int64) (galenastair.AnswerStream, error) {
	req, err := http.NewRequest(http.MethodGet, "http://"+server+streamPath(id), nil)
	if err != nil {
		return nil, eris.Wrapf(galenastair.ErrNotSent, "%v", err)
	}
	req.Header.Set(HeaderLastEventID, strconv.FormatInt(after, 10))
	c.pool.CloseIdle(server)
	return c.open(ctx, req, c.pool.UnpooledTransport(), id, after)
}

// open sends a request and returns its stream once the headers of the answer are in.
func (c *Client) open(ctx context.Context, req *http.Request, t http.RoundTripper, id galenastair.RequestID, after int64) (galenastair.AnswerStream, error) {
	req.Header.Set(HeaderRequestID, string(id))
	req.Header.Set("Accept", "text/event-stream")
	tracked, sending := httpclient.WithRequestTrace(ctx)
	tracked, cancel := context.WithCancel(tracked)
	s := &stream{cancel: cancel, silence: c.silence, check: checker{id: id, next: after + 1}}
	s.timer = time.AfterFunc(c.silence, s.expire)
	resp, err := t.RoundTrip(req.WithContext(tracked))
	s.timer.Stop()
	if err != nil {
		cancel()
		if s.silent.Load() && !sending.NotSent() {
			c.pool.CloseIdle(req.URL.Host)
			return nil, eris.Wrap(galenastair.ErrSilent, "before the answer began")
		}
		return nil, c.pool.ClassifyError(ctx, req.URL.Host, sending, err)
	}
	if resp.StatusCode != http.StatusOK {
		defer cancel()
		defer resp.Body.Close()
		return nil, refusal(resp)
	}
	if got := resp.Header.Get(HeaderRequestID); got != string(id) {
		cancel()
		_ = resp.Body.Close()
		return nil, eris.Wrapf(galenastair.ErrCrossed, "the answer is for request %q", got)
	}
	s.body = resp.Body
	s.events = newEventReader(resp.Body, s.rearm)
	return s, nil
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// streamBody returns the caller's body with the fields that the system decides.
// It stays a map of raw fields, since engines know fields that this system does
// not; a field that came twice is sent once, so that the engine cannot read
// another value than the one that was admitted.
func streamBody(comp galenastair.Completion) ([]byte, error) {
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
