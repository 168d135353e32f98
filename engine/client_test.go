package engine_test

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"galenastair"
	"galenastair/engine"
	"galenastair/relay"
	standin "galenastair/standin/engine"
)

const prompt = "two bundles of walnut"

// startEngine starts a stand-in engine with model-1 loaded and returns it and its address.
func startEngine(t *testing.T, change func(*standin.Settings)) (*standin.Engine, string) {
	t.Helper()
	s := standin.DefaultSettings()
	s.BaseStep = 2 * time.Millisecond
	s.PingInterval = 20 * time.Millisecond
	s.ReportLag = 0
	s.ChecksFence = true
	if change != nil {
		change(&s)
	}
	e := standin.New("e1", s)
	e.Preload(galenastair.ModelWeights{Name: "model-1", Version: "v1", Memory: 1 << 30})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- e.Run(ctx) }()
	server := httptest.NewServer(e.Handler())
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
		cancel()
		<-ended
	})
	return e, server.Listener.Addr().String()
}

func request(id galenastair.RequestID, tokens int) galenastair.Completion {
	body, _ := json.Marshal(map[string]any{"model": "model-1", "prompt": prompt, "max_tokens": tokens})
	return galenastair.Completion{ID: id, Model: "model-1", Body: body}
}

func expectedText(tokens int) string {
	return standin.CompletionText(standin.Request{Model: "model-1", Prompt: prompt, MaxTokens: tokens})
}

type tokenEvent struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
}

// read reads a stream to its end and returns the text, the last sequence and the final error.
func read(s galenastair.ResponseStream) (text string, last int64, err error) {
	defer s.Close()
	for {
		c, err := s.Next()
		if err != nil {
			return text, last, err
		}
		last = c.Sequence
		var ev tokenEvent
		if !c.End && json.Unmarshal(c.Data, &ev) == nil && len(ev.Choices) > 0 {
			text += ev.Choices[0].Text
		}
	}
}

// A network device between entry instance and engine drops the state of an open
// connection: the stream stops and the connection stays open, while new connections
// work. The client must time out and resume on a new connection, not on a pooled
// idle one, which is dead as well. Without the idle timer the test hangs; it also
// fails if Resume uses the pooled transport without closing its idle connections.
func TestResumeAfterIdleTimeoutUsesNewConnection(t *testing.T) {
	is := is.New(t)
	_, address := startEngine(t, func(s *standin.Settings) { s.BaseStep = 10 * time.Millisecond })
	r, err := relay.New(address)
	is.NoErr(err)
	defer r.Close()
	c := engine.New(engine.WithIdleTimeout(100 * time.Millisecond))
	defer c.Close()

	s, err := c.Complete(context.Background(), r.Address(), request("r1", 30))
	is.NoErr(err)
	first, err := s.Next()
	is.NoErr(err)
	second, err := c.Complete(context.Background(), r.Address(), request("r0", 1))
	is.NoErr(err)
	_, _, err = read(second)
	is.Equal(err, io.EOF)
	r.Blackhole()
	rest, last, err := read(s)
	is.True(errors.Is(err, galenastair.ErrProgressTimeout))
	s, err = c.Resume(context.Background(), r.Address(), "r1", max(first.Sequence, last))
	is.NoErr(err)
	end, _, err := read(s)
	is.Equal(err, io.EOF)
	var ev tokenEvent
	is.NoErr(json.Unmarshal(first.Data, &ev))
	is.Equal(ev.Choices[0].Text+rest+end, expectedText(30))
	is.Equal(r.Accepted(), 3)
}

// Guards against errors that say that a request has not run although it has, or that
// leave this open although it has not. Each kind of failure is caused in turn. Fails if
// Sending.NotSent is always true or always false.
func TestErrorTellsWhetherRequestRan(t *testing.T) {
	_, address := startEngine(t, func(s *standin.Settings) { s.MaxQueueLength = 0 })
	_, open := startEngine(t, nil)
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed.Close()
	abortingServer := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	defer abortingServer.Close()
	wrongIDServer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.Header().Set(engine.HeaderRequestID, "r2") }))
	defer wrongIDServer.Close()
	hung, hungAddress := startEngine(t, nil)
	hung.UpdateFaults(func(s *standin.Faults) { s.Frozen = true })
	tests := []struct {
		name    string
		address string
		comp    galenastair.Completion
		want    error
	}{
		{"refused connection", closed.Addr().String(), request("r1", 1), galenastair.ErrNotSent},
		{"malformed body", open, galenastair.Completion{ID: "r1", Body: []byte("[")}, galenastair.ErrNotSent},
		{"declined", address, request("r1", 1), galenastair.ErrDeclined},
		{"closed before the response", abortingServer.Listener.Addr().String(), request("r1", 1), galenastair.ErrBackendFailed},
		{"response to another request", wrongIDServer.Listener.Addr().String(), request("r1", 1), galenastair.ErrInvalidResponse},
		{"no response headers", hungAddress, request("r1", 1), galenastair.ErrProgressTimeout},
	}
	c := engine.New(engine.WithIdleTimeout(100 * time.Millisecond))
	defer c.Close()
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			_, err := c.Complete(context.Background(), tt.address, tt.comp)
			is.True(errors.Is(err, tt.want)) // expected error
			for _, other := range []error{galenastair.ErrNotSent, galenastair.ErrDeclined} {
				is.Equal(errors.Is(err, other), errors.Is(tt.want, other))
			}
		})
	}
	is := is.New(t)
	_, err = c.Complete(context.Background(), address, request("r1", 1))
	var d *engine.DeclinedError
	is.True(errors.As(err, &d))
	is.Equal(d.RetryAfter, time.Second)
	_, err = c.Resume(context.Background(), open, "r9", 0)
	is.True(errors.Is(err, galenastair.ErrStreamNotFound))
	is.True(errors.Is(c.Cancel(context.Background(), open, "r9"), galenastair.ErrStreamNotFound))
}

func TestEngineFaultsReturnErrors(t *testing.T) {
	is := is.New(t)
	e, address := startEngine(t, nil)
	c := engine.New()
	defer c.Close()
	run := func(id galenastair.RequestID) (string, error) {
		s, err := c.Complete(context.Background(), address, request(id, 5))
		is.NoErr(err)
		text, _, err := read(s)
		return text, err
	}
	text, err := run("r1")
	is.Equal(err, io.EOF)
	is.Equal(text, expectedText(5))
	e.UpdateFaults(func(s *standin.Faults) { s.CutAfter = 3 })
	_, err = run("r2")
	is.True(errors.Is(err, galenastair.ErrResponseTruncated))
	e.UpdateFaults(func(s *standin.Faults) { s.CutAfter, s.Crossed = 0, true })
	_, err = run("r3")
	is.True(errors.Is(err, galenastair.ErrInvalidResponse))
}

func TestOrdersAndReports(t *testing.T) {
	is := is.New(t)
	e, address := startEngine(t, nil)
	c := engine.New()
	defer c.Close()
	ctx := context.Background()
	order := func(id galenastair.OrderID, f galenastair.Fence, k galenastair.OrderKind, m galenastair.ModelName) error {
		return c.SendOrder(ctx, address, galenastair.Order{
			ID: id, Fence: f, BackendServer: "e1", Kind: k,
			Weight: galenastair.ModelWeights{Name: m, Version: "v1", Memory: 60 << 30},
		})
	}
	is.NoErr(order("o1", 5, galenastair.LoadModel, "model-2"))
	is.True(errors.Is(order("o2", 4, galenastair.LoadModel, "model-3"), galenastair.ErrStaleFence))
	is.True(errors.Is(order("o3", 5, galenastair.UnloadModel, "model-9"), galenastair.ErrDeclined))
	e.UpdateFaults(func(s *standin.Faults) { s.LoseOrderAnswers = true })
	err := order("o4", 6, galenastair.LoadModel, "model-4")
	is.True(errors.Is(err, galenastair.ErrBackendFailed)) // the engine has acted, but its response was lost
	e.UpdateFaults(func(s *standin.Faults) { s.LoseOrderAnswers = false })
	r, err := c.Report(ctx, address)
	is.NoErr(err)
	is.Equal(r.HighestFence, galenastair.Fence(6))
	is.Equal(len(r.Loaded), 3)
	is.Equal(r.MemoryUsed, galenastair.Bytes(121<<30))
	resp, err := http.Get("http://" + address + "/control/violations")
	is.NoErr(err)
	body, _ := io.ReadAll(resp.Body)
	is.True(strings.Contains(string(body), `"Order":"o4"`)) // the engine recorded that its memory is overcommitted
}
