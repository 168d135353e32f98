package caller

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"galenastair"
	"galenastair/request"
)

const testKey = "gsk-himalbyte-1"

// fakeServer sends the given events, then returns an error. It records the requests.
type fakeServer struct {
	events   []string
	complete bool
	err      error
	answer   galenastair.ServiceResponse

	completions []request.Call
	services    []request.ServiceCall
}

func (s *fakeServer) Complete(_ context.Context, c request.Call, sink request.ResponseWriter) error {
	s.completions = append(s.completions, c)
	for i, e := range s.events {
		if err := sink.WriteChunk(galenastair.Chunk{Sequence: int64(i + 1), Data: []byte(e)}); err != nil {
			return &galenastair.Refusal{Cause: galenastair.ErrResponseTruncated, Outcome: galenastair.OutcomeRan}
		}
	}
	if s.complete {
		return sink.WriteChunk(galenastair.Chunk{End: true})
	}
	return s.err
}

func (s *fakeServer) CallService(_ context.Context, c request.ServiceCall) (galenastair.ServiceResponse, error) {
	s.services = append(s.services, c)
	return s.answer, s.err
}

func (s *fakeServer) Models(k galenastair.KeyHash) ([]galenastair.ModelName, error) {
	if k != galenastair.HashKey(testKey) {
		return nil, galenastair.NewRefusal(galenastair.ErrKeyUnknown, 0, "")
	}
	return []galenastair.ModelName{"model-1", "adapter-1"}, nil
}

// testServer serves a handler over TCP, so that tests detect an aborted connection.
type testServer struct {
	t   *testing.T
	url string
}

func newTestServer(t *testing.T, s Server, opts ...Option) testServer {
	h := httptest.NewUnstartedServer(NewHandler(s, opts...))
	h.Config.ErrorLog = nil
	h.Start()
	t.Cleanup(h.Close)
	return testServer{t, h.URL}
}

// testResponse is a response; connErr is set if the connection was aborted.
type testResponse struct {
	status  int
	header  http.Header
	body    string
	connErr error
}

func (g testResponse) decodeError(t *testing.T) errorObject {
	t.Helper()
	var e errorBody
	if err := json.Unmarshal([]byte(g.body), &e); err != nil {
		t.Fatalf("response has no error object: status %d, body %q", g.status, g.body)
	}
	return e.Error
}

func (x testServer) do(method, path, body string, headers ...string) testResponse {
	x.t.Helper()
	is := is.New(x.t)
	req, err := http.NewRequest(method, x.url+path, strings.NewReader(body))
	is.NoErr(err)
	req.Header.Set("Authorization", "Bearer "+testKey)
	for i := 0; i < len(headers); i += 2 {
		if headers[i] == "Authorization" {
			req.Header.Del(headers[i])
		}
		req.Header.Add(headers[i], headers[i+1])
	}
	client := &http.Client{CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	resp, err := client.Do(req)
	if err != nil {
		return testResponse{connErr: err}
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	return testResponse{resp.StatusCode, resp.Header, string(raw), err}
}

func (x testServer) chat(extra string, headers ...string) testResponse {
	x.t.Helper()
	return x.do(http.MethodPost, "/v1/chat/completions", `{"model":"model-1","messages":[{"role":"user","content":"hello"}]`+extra+`}`, headers...)
}
