package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// request is one client attempt. Each attempt is sent on a new connection.
type request struct {
	id, method, path, body string
	header                 map[string]string
	deadline               time.Time
}

// answer is what the client got.
type answer struct {
	status     int
	signature  string
	body       string
	retryAfter time.Duration
	err        error
}

const clientHost = "a.example"

func (q request) build(ctx context.Context, address string) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, q.method, "http://"+address+q.path, strings.NewReader(q.body))
	if err != nil {
		return nil, err
	}
	req.Host = clientHost
	req.Header.Set("Galenastair-Attempt-Id", q.id)
	req.Header.Set("Galenastair-Deadline-Ms", strconv.FormatInt(time.Until(q.deadline).Milliseconds(), 10))
	req.Header.Set("Authorization", "Bearer "+apiKey)
	req.Header.Set("Accept-Encoding", "identity")
	for name, value := range q.header {
		req.Header.Set(name, value)
	}
	return req, nil
}

// send sends the request and passes each event of a stream to onEvent, if that is not nil.
func (q request) send(address string, onEvent func(id int, data string)) answer {
	ctx, cancel := context.WithDeadline(context.Background(), q.deadline)
	defer cancel()
	req, err := q.build(ctx, address)
	if err != nil {
		return answer{err: err}
	}
	transport := &http.Transport{DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	a := answer{status: resp.StatusCode, signature: resp.Header.Get("Galenastair-Server-Signature")}
	if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		a.retryAfter = time.Duration(s * float64(time.Second))
	}
	if resp.StatusCode == http.StatusOK && onEvent != nil {
		a.err = readEvents(resp.Body, onEvent)
		return a
	}
	data, err := io.ReadAll(resp.Body)
	a.body, a.err = string(data), err
	return a
}

// readEvents reads complete events until the end of the stream.
func readEvents(body io.Reader, onEvent func(id int, data string)) error {
	reader := bufio.NewReader(body)
	id, data := 0, ""
	for {
		line, err := reader.ReadString('\n')
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		line = strings.TrimRight(line, "\r\n")
		switch {
		case strings.HasPrefix(line, "id: "):
			id, _ = strconv.Atoi(line[4:])
		case strings.HasPrefix(line, "data: "):
			data = line[6:]
		case line == "" && data != "":
			onEvent(id, data)
			data = ""
		}
	}
}

func (a answer) String() string {
	if a.err != nil {
		return fmt.Sprintf("status %d, then: %v", a.status, a.err)
	}
	return fmt.Sprintf("status %d, signature %q", a.status, a.signature)
}
