package main

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// transport opens a connection for each request.
var transport = &http.Transport{DisableKeepAlives: true, DisableCompression: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}

// streamResult is what a caller saw of one client attempt at a stream.
type streamResult struct {
	status   int
	events   int
	last     int
	versions map[string]bool
	complete bool
	// retryAfter is what a refusal asks for.
	retryAfter time.Duration
	err        error
}

type streamRequest struct {
	id, resumes string
	last        int
	tokens      int
	deadline    time.Duration
	model       string
	header      http.Header
}

// stream sends one client attempt, reads its events to the end and records both.
func (w *world) stream(ctx context.Context, g *gateway, path string, s streamRequest) streamResult {
	sent := time.Now()
	r := readStream(ctx, g, path, s)
	w.logf("sent %s at %.3f to %s, resumes %q after %d: status %d, events to %d, complete %v, err %v", s.id, sent.Sub(w.start).Seconds(), g.name, s.resumes, s.last, r.status, r.last, r.complete, r.err)
	return r
}

func readStream(ctx context.Context, g *gateway, path string, s streamRequest) streamResult {
	ctx, cancel := context.WithTimeout(ctx, s.deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+g.front+path, strings.NewReader("prompt of "+s.id))
	if err != nil {
		return streamResult{err: err}
	}
	req.Host = "a.example"
	for name, v := range s.header {
		req.Header[name] = v
	}
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("Galenastair-Attempt-Id", s.id)
	req.Header.Set("Galenastair-Deadline-Ms", strconv.FormatInt(s.deadline.Milliseconds(), 10))
	req.Header.Set("Galenastair-Token-Usage", "1200,"+strconv.Itoa(s.tokens))
	if s.model != "" {
		req.Header.Set("Galenastair-Model", s.model)
		req.Header.Set("Galenastair-Prompt-Prefix", "aa01:341,bb02:227,"+s.id+":632")
	}
	if s.last > 0 {
		req.Header.Set("Last-Event-Id", strconv.Itoa(s.last))
		req.Header.Set("Resumes", s.resumes)
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return streamResult{err: err}
	}
	defer resp.Body.Close()
	out := streamResult{status: resp.StatusCode, last: s.last, versions: map[string]bool{}}
	if resp.StatusCode != http.StatusOK {
		seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		out.retryAfter = time.Duration(seconds * float64(time.Second))
		return out
	}
	lines := bufio.NewScanner(resp.Body)
	id := 0
	for lines.Scan() {
		line := lines.Text()
		switch {
		case strings.HasPrefix(line, "id: "):
			id, _ = strconv.Atoi(line[4:])
		case strings.HasPrefix(line, "data: "):
			version, _, _ := strings.Cut(line[6:], " ")
			out.versions[version] = true
		case line == "" && id > 0:
			out.events++
			out.last = id
			id = 0
		}
	}
	out.err = lines.Err()
	out.complete = out.err == nil
	return out
}

// call sends one client attempt of a request that is no stream, records it and returns its status; 0 without an
// answer.
func (w *world) call(ctx context.Context, g *gateway, method, path, id string, deadline time.Duration) int {
	sent := time.Now()
	status := readAnswer(ctx, g, method, path, id, deadline)
	w.logf("sent %s at %.3f to %s: status %d", id, sent.Sub(w.start).Seconds(), g.name, status)
	return status
}

func readAnswer(ctx context.Context, g *gateway, method, path, id string, deadline time.Duration) int {
	ctx, cancel := context.WithTimeout(ctx, deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+g.front+path, nil)
	if err != nil {
		return 0
	}
	req.Host = "a.example"
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("Galenastair-Attempt-Id", id)
	req.Header.Set("Galenastair-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}
