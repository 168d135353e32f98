package load_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"galenastair"
	"galenastair/load"
	"galenastair/platform"
	"galenastair/standin/engine"
)

func startEngine(t *testing.T) (*engine.Engine, string) {
	s := engine.DefaultSettings()
	s.BaseStep = time.Millisecond
	e := engine.New("e1", s)
	e.Preload(galenastair.ModelWeights{Name: "model-1"}, galenastair.ModelWeights{Name: "model-2"})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- e.Run(ctx) }()
	server := httptest.NewServer(e.Handler())
	t.Cleanup(func() {
		server.Close()
		cancel()
		<-ended
	})
	return e, server.Listener.Addr().String()
}

func config(address string) load.Config {
	models := []galenastair.ModelName{"model-1", "model-2"}
	return load.Config{
		Targets:  []string{address},
		Duration: 500 * time.Millisecond,
		Timeout:  5 * time.Second,
		Seed:     1,
		ExpectedText: func(q load.RequestParams) string {
			return engine.ExpectedText(q.Model, q.Prompt, q.Chat, q.Tokens)
		},
		Sources: []load.Source{
			{Organisation: "nursery", Models: models, Rate: 100, PromptBytes: 400, Tokens: 5, Chat: true, Stream: true},
			{Organisation: "mill", Models: models, Rate: 100, PromptBytes: 10, Tokens: 5},
		},
	}
}

func TestRunVerifiesCompleteResponses(t *testing.T) {
	is := is.New(t)
	_, address := startEngine(t)
	r, err := load.Run(context.Background(), config(address))
	is.NoErr(err)
	is.True(r.All.Requests > 50)
	is.Equal(r.All.Completed(), r.All.Requests)
	is.Equal(len(r.Organisations), 2)
	is.Equal(r.Organisations[0].BetweenTokens.Count, int64(4*r.Organisations[0].Requests))
	is.True(r.All.FirstToken.P50 > 0)
	var text strings.Builder
	is.NoErr(r.WriteText(&text))
	is.True(strings.Contains(text.String(), "nursery"))
}

// Responses that are truncated or contain the wrong text must not count as complete, or
// the result hides that callers received them. The engine truncates its responses, then
// the expected text differs. Fails if the end of the body is taken for the [DONE] marker,
// or if texts are not compared.
func TestRunReportsTruncatedAndWrongResponses(t *testing.T) {
	is := is.New(t)
	e, address := startEngine(t)
	c := config(address)
	c.Sources = c.Sources[:1]
	e.UpdateFaults(func(s *engine.Faults) { s.CutAfter = 2 })
	r, err := load.Run(context.Background(), c)
	is.NoErr(err)
	is.Equal(r.All.Completed(), 0)
	is.Equal(r.All.Count("CutUntold"), r.All.Requests)
	e.UpdateFaults(func(s *engine.Faults) { s.CutAfter = 0 })
	c.ExpectedText = func(load.RequestParams) string { return "other" }
	r, err = load.Run(context.Background(), c)
	is.NoErr(err)
	is.Equal(r.All.Count("WrongAnswer"), r.All.Requests)
}

func TestRunIsBounded(t *testing.T) {
	is := is.New(t)
	e, address := startEngine(t)
	e.UpdateFaults(func(s *engine.Faults) { s.Frozen = true })
	c := config(address)
	c.MaxInFlight = 3
	c.MaxRequests = 20
	c.Timeout = 100 * time.Millisecond
	c.Duration = time.Minute
	r, err := load.Run(context.Background(), c)
	is.NoErr(err)
	is.Equal(r.All.Requests, 20)
	is.True(r.All.Count("ClientTimeout") >= 3)
	is.True(r.All.Count("Dropped") > 0)
}

// Requests with a Route: each must have a unique id and carry the time left until its
// deadline, the key and the hints. Responses must be counted by status, and as truncated
// if the body is shorter than its Content-Length.
func TestRunOnTheUsersPlatform(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	seen := map[galenastair.RequestID]platform.CallerRequest{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := platform.DecodeCallerRequest(r.Header)
		mu.Lock()
		seen[c.ID] = c
		n := len(seen)
		mu.Unlock()
		switch {
		case r.Host != "a.example" || r.URL.Path != "/drafts/1":
			w.WriteHeader(http.StatusNotFound)
		case n%3 == 1:
			w.WriteHeader(http.StatusTooManyRequests)
		case n%3 == 2:
			_, _ = io.WriteString(w, "id: 1\ndata: x\n\nid: 2\ndata: y\n\n")
		default:
			w.Header().Set("Content-Length", "100")
			_, _ = io.WriteString(w, "data: x\n")
		}
	}))
	defer server.Close()
	r, err := load.Run(t.Context(), load.Config{
		Targets:      []string{server.Listener.Addr().String()},
		Duration:     400 * time.Millisecond,
		Timeout:      2 * time.Second,
		EvenlySpaced: true,
		Sources: []load.Source{{
			Organisation: "mill", Key: "secret", Models: []galenastair.ModelName{"m1/a1"}, Rate: 100, PromptBytes: 400, Tokens: 7,
			Route: &load.Route{Host: "a.example", Path: "/drafts/1"},
		}},
	})
	is.NoErr(err)
	is.Equal(len(seen), r.All.Requests)
	third := r.All.Requests / 3
	is.True(r.All.Completed() >= third-1 && r.All.Count("Status429") >= third-1 && r.All.Count("CutUntold") >= third-1)
	is.Equal(r.All.Count("Status404"), 0)
	for _, c := range seen {
		is.Equal(c.Key, "secret")
		is.Equal(c.Hints.Model, galenastair.ModelName("m1/a1"))
		is.Equal(c.Hints.OutputTokens, galenastair.Tokens(7))
		is.True(c.Timeout > time.Second)
	}
}
