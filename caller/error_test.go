package caller

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"galenastair"
)

// Every error response must have a code, an outcome and the request ID, also those for
// unknown paths and methods, for which the router's own responses have no body.
// Retry-After is rounded up.
func TestErrors(t *testing.T) {
	small := DefaultLimits()
	small.MaxBodyBytes = 100
	long := strings.Repeat("x", 200)
	for name, c := range map[string]struct {
		method, path, body string
		header             []string
		err                error
		status             int
		code               galenastair.Code
		outcome            galenastair.Outcome
		retry              string
	}{
		"path":        {"GET", "/nothing", "", nil, nil, 404, "NotFound", galenastair.OutcomeNotRun, ""},
		"method":      {"GET", "/v1/completions", "", nil, nil, 404, "NotFound", galenastair.OutcomeNotRun, ""},
		"method 2":    {"PUT", "/v1/models", "", nil, nil, 404, "NotFound", galenastair.OutcomeNotRun, ""},
		"method 3":    {"DELETE", "/v1/chat/completions", "", nil, nil, 404, "NotFound", galenastair.OutcomeNotRun, ""},
		"scheme":      {"GET", "/v1/models", "", []string{"Authorization", "Basic eA=="}, nil, 401, "KeyMissing", galenastair.OutcomeNotRun, ""},
		"no key":      {"POST", "/v1/completions", "{}", []string{"Authorization", "Bearer  "}, nil, 401, "KeyMissing", galenastair.OutcomeNotRun, ""},
		"other key":   {"GET", "/v1/models", "", []string{"Authorization", "Bearer other"}, nil, 401, "KeyUnknown", galenastair.OutcomeNotRun, ""},
		"no JSON":     {"POST", "/v1/completions", "{", nil, nil, 400, "BadRequest", galenastair.OutcomeNotRun, ""},
		"large":       {"POST", "/v1/completions", long, nil, nil, 413, "TooLarge", galenastair.OutcomeNotRun, ""},
		"large call":  {"POST", "/services/bids", long, nil, nil, 413, "TooLarge", galenastair.OutcomeNotRun, ""},
		"idempotency": {"POST", "/services/bids", "", []string{"Idempotency-Key", "two words"}, nil, 400, "BadRequest", galenastair.OutcomeNotRun, ""},
		"rate": {
			"POST", "/v1/completions", `{"model":"m","prompt":"p"}`, nil,
			galenastair.NewRefusal(galenastair.ErrRateExceeded, 1200*time.Millisecond, ""), 429, "RateExceeded", galenastair.OutcomeNotRun, "2",
		},
		"timeout": {"POST", "/services/bids", "", nil, context.DeadlineExceeded, 504, "Timeout", galenastair.OutcomeUnknown, ""},
		"unknown": {"POST", "/services/bids", "", nil, errors.New("odd"), 500, "Internal", galenastair.OutcomeUnknown, ""},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			x := newTestServer(t, &fakeServer{err: c.err}, WithLimits(small))
			header := append([]string{headerRequestID, "note-7"}, c.header...)
			g := x.do(c.method, c.path, c.body, header...)
			is.Equal(g.status, c.status)
			e := g.decodeError(t)
			is.Equal(e.Code, c.code)
			is.Equal(e.Outcome, c.outcome)
			is.Equal(e.RequestID, galenastair.RequestID("note-7"))
			is.Equal(g.header.Get(headerRequestID), "note-7")
			is.Equal(g.header.Get("Retry-After"), c.retry)
			is.True(e.Message != "" && e.Type != "")
		})
	}
}

// A request ID that could break a log line must be replaced, and every response must
// have a request ID.
func TestRequestIDIsReplaced(t *testing.T) {
	is := is.New(t)
	x := newTestServer(t, &fakeServer{})
	for _, id := range []string{"", `a"b`, "a b", strings.Repeat("x", maxIDLength+1)} {
		g := x.do(http.MethodGet, "/v1/models", "", headerRequestID, id)
		is.Equal(g.status, http.StatusOK)
		is.Equal(len(g.header.Get(headerRequestID)), len("xxxxxxxx-xxxx-xxxx-xxxx-xxxxxxxxxxxx"))
	}
	g := x.do(http.MethodGet, "/v1/models", "")
	is.Equal(g.body, `{"object":"list","data":[{"id":"model-1","object":"model"},{"id":"adapter-1","object":"model"}]}`+"\n")
}

// Requests with the same X-Request-Id must get different internal IDs: a caller may
// repeat the header when it retries, or two organisations may both count from 1. With
// one ID, a stream resumed at an engine would continue with the other's response.
func TestInternalIDsAreUnique(t *testing.T) {
	is := is.New(t)
	s := &fakeServer{err: galenastair.NewRefusal(galenastair.ErrOverloaded, 0, "")}
	x := newTestServer(t, s)
	for range 2 {
		x.chat("", headerRequestID, "1~2")
		x.do(http.MethodPost, "/services/bids", "", headerRequestID, "1~2", headerIdempotencyKey, "bid-1")
	}
	is.True(s.completions[0].ID != s.completions[1].ID)
	is.True(s.services[0].ID != s.services[1].ID)
	is.Equal(ExternalID(s.completions[0].ID), galenastair.RequestID("1~2"))
	is.Equal(s.services[0].IdempotencyKey, galenastair.IdempotencyKey("bid-1"))
}
