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

// fakeServer answers with the given events, then with an error.
type fakeServer struct {
	events []string
	whole  bool
	err    error
	answer galenastair.ServiceAnswer

	calls    []request.Call
	services []request.ServiceCall
}

func (s *fakeServer) Complete(_ context.Context, c request.Call, sink request.ResponseWriter) error {
	s.calls = append(s.calls, c)
	for i, e := range s.events {
		if err := sink.WriteChunk(galenastair.Chunk{Sequence: int64(i + 1), Data: []byte(e)}); err != nil {
			return &galenastair.Refusal{Cause: galenastair.ErrAnswerCut, Outcome: galenastair.Ran}
		}
	}
	if s.whole {
		return sink.WriteChunk(galenastair.Chunk{End: true})
	}
	return s.err
}

func (s *fakeServer) CallService(_ context.Context, c request.ServiceCall) (galenastair.ServiceAnswer, error) {
	s.services = append(s.services, c)
	return s.answer, s.err
}

func (s *fakeServer) Models(k galenastair.KeyHash) ([]galenastair.ModelName, error) {
	if k != galenastair.HashKey(testKey) {
		return nil, galenastair.Refuse(galenastair.ErrKeyUnknown, 0, "")
	}
	return []galenastair.ModelName{"model-1", "adapter-1"}, nil
}

// exchange is a handler behind a real connection, so that a broken one shows.
type exchange struct {
	t   *testing.T
	url string
}

func newExchange(t *testing.T, s Server, opts ...Option) exchange {
	h := httptest.NewUnstartedServer(NewHandler(s, opts...))
	h.Config.ErrorLog = nil
	h.Start()
	t.Cleanup(h.Close)
	return exchange{t, h.URL}
}

// got is an answer as it came; cut says that the connection broke in it.
type got struct {
	status int
	header http.Header
	body   string
	cut    error
}

func (g got) error(t *testing.T) errorObject {
	t.Helper()
	var e errorBody
	if err := json.Unmarshal([]byte(g.body), &e); err != nil {
		t.Fatalf("no error object: %d %q", g.status, g.body)
	}
	return e.Error
}

func (x exchange) send(method, path, body string, headers ...string) got {
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
		return got{cut: err}
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	return got{resp.StatusCode, resp.Header, string(raw), err}
}

func (x exchange) chat(extra string, headers ...string) got {
	x.t.Helper()
	return x.send(http.MethodPost, "/v1/chat/completions", `{"model":"model-1","messages":[{"role":"user","content":"hello"}]`+extra+`}`, headers...)
}
