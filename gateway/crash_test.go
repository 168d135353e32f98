package gateway

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/matryer/is"

	"galenastair"
	"galenastair/claim"
	"galenastair/planner"
	"galenastair/pool"
)

// A request that crashes every server is sent repeatedly. After three crashed servers it is
// refused, so that the others keep running.
func TestRequestThatCrashesServersIsRefused(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(failWith(galenastair.ErrResponseTruncated), failWith(galenastair.ErrResponseTruncated), failWith(galenastair.ErrResponseTruncated), respond(200, "x"))
	for range 6 {
		_, _, err := env.serve(t, "/bid/1")
		is.True(err != nil)
	}
	is.Equal(len(env.backend.calls), 3)
}

// Guards against crashes that are not counted, because the server had already sent the response header.
func TestCrashAfterResponseHeaderIsCounted(t *testing.T) {
	for name, first := range map[string]script{"no event": truncate(""), "one event": truncate("id: 1\ndata: a\n\n"), "half an event": respond(200, "id: 1\nda")} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			env := newTestEnv(first, first, first, respond(200, "x"))
			for range 6 {
				_, _, err := env.serve(t, "/once-stream/1")
				is.True(err != nil)
			}
			is.Equal(len(env.backend.calls), 3)
		})
	}
}

// Guards against a server's error status that clears the crashes of a request, which is then sent on.
func TestErrorStatusDoesNotClearCrashes(t *testing.T) {
	const requests = 40
	is := is.New(t)
	env := newTestEnv(truncate(""), truncate(""), respond(500, "error"))
	for range requests {
		env.backend.scripts = append(env.backend.scripts, truncate(""))
	}
	for range requests {
		_, _, err := env.serve(t, "/once-stream/1")
		is.True(err != nil || len(env.backend.calls) == 3)
	}
	// a server that crashes again counts once
	crashed := map[galenastair.BackendServerID]bool{}
	for i, call := range env.backend.calls {
		is.True(len(crashed) < 3)
		if i != 2 {
			crashed[call.ExpectedServer] = true
		}
	}
	is.Equal(len(crashed), 3)
}

// Guards against a retry of a request that has just crashed its last permitted server.
func TestLastCrashIsNotRetried(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(truncate(""), truncate(""), truncate(""), respond(200, "x"))
	for range 2 {
		_, _, err := env.serve(t, "/read/1")
		is.True(err != nil)
	}
	is.Equal(len(env.backend.calls), 3)
}

// Guards against a request that waits for a model while others like it crash servers, and is then sent.
func TestRequestIsRefusedIfOthersCrashServersWhileItWaits(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(respond(200, "x"))
	env.placement.availability = planner.Availability{Server: "s1", ReadyIn: 50 * time.Millisecond}
	req := testRequest("/stream/1")
	req.Hints.Model = "m/a"
	time.AfterFunc(10*time.Millisecond, func() {
		for _, server := range []claim.ServerProcess{"s1@0", "s2@0", "s3@0"} {
			env.gateway.crashes.RecordCrash(time.Now(), claim.Run{Digest: claim.DigestOf("org", req.Method+" "+req.Target, req.Body), Server: server})
		}
	})
	_, err := env.gateway.Serve(t.Context(), req, &recordedResponse{})
	var refusal *galenastair.Refusal
	is.True(errors.As(err, &refusal))
	is.Equal(refusal.Status(), http.StatusServiceUnavailable)
	is.Equal(len(env.backend.calls), 0)
}

// stepClock is a clock that the test advances.
type stepClock struct {
	now  time.Time
	step time.Duration
}

func (c *stepClock) Now() time.Time { return c.now }

// restartServers replaces the processes of all engines.
func (env *testEnv) restartServers(now time.Time) {
	for _, id := range []galenastair.BackendServerID{"s1", "s2", "s3"} {
		env.pool.Set(now, pool.Server{ID: id, Service: "writer", Address: string(id), AvailabilityZone: "z1", Slots: 8,
			Incarnation: now.UnixMilli(), Models: []galenastair.LoadedModel{{Name: "m"}}})
	}
}

// Read advances the clock and ends.
func (c *stepClock) Read([]byte) (int, error) {
	c.now = c.now.Add(c.step)
	return 0, io.EOF
}

// sendPieces sends a body in pieces, a step of the clock after each, and breaks it off.
func sendPieces(clock *stepClock, pieces ...string) script {
	return func(context.Context, galenastair.BackendRequest) (*galenastair.BackendResponse, error) {
		var readers []io.Reader
		for _, piece := range pieces {
			readers = append(readers, strings.NewReader(piece), clock)
		}
		return &galenastair.BackendResponse{Status: 200, Header: http.Header{}, Body: truncatedBody{io.MultiReader(readers...)}}, nil
	}
}

// serveParts serves a request that differs from all others, with these parts in its prompt.
func (env *testEnv) serveParts(t *testing.T, parts ...string) error {
	t.Helper()
	req := testRequest("/stream/1")
	req.Body, req.Received = []byte(rand.Text()), env.gateway.clock.Now()
	for _, id := range append(parts, rand.Text()) {
		req.Hints.PromptParts = append(req.Hints.PromptParts, galenastair.PromptPart{ID: id, Tokens: 10})
	}
	_, err := env.gateway.Serve(t.Context(), req, &recordedResponse{})
	return err
}

// Guards against requests that differ in all but one part of their prompts and crash one server after the other.
func TestRequestsThatShareACrashingPartAreRefused(t *testing.T) {
	is := is.New(t)
	env := newTestEnv()
	clock := &stepClock{now: time.Now()}
	env.gateway.clock = clock
	var crashes int
	for range 10 {
		clock.now = clock.now.Add(300 * time.Millisecond)
		env.restartServers(clock.now)
		before := len(env.backend.calls)
		env.backend.scripts = append(env.backend.scripts, truncate(""), truncate(""))
		is.True(env.serveParts(t, "a", "bad") != nil)
		crashes += len(env.backend.calls) - before
		env.backend.scripts = env.backend.scripts[:len(env.backend.calls)]
	}
	is.True(crashes <= 5)
	env.backend.scripts = append(env.backend.scripts, respond(200, "id: 1\ndata: a\n\n"))
	is.NoErr(env.serveParts(t, "a", "good"))
	is.True(env.serveParts(t, "a", "bad") != nil)
}

// Guards against a part that is blamed for the loss of servers that had answered its request for some time.
func TestBrokenStreamsDoNotBlameTheirParts(t *testing.T) {
	is := is.New(t)
	env := newTestEnv()
	clock := &stepClock{now: time.Now(), step: time.Second}
	env.gateway.clock = clock
	for range 10 {
		clock.now = clock.now.Add(300 * time.Millisecond)
		env.restartServers(clock.now)
		env.backend.scripts = append(env.backend.scripts[:len(env.backend.calls)], sendPieces(clock, "id: 1\ndata: a\n\n", "id: 2\ndata: a\n\n"), sendPieces(clock, "id: 3\ndata: a\n\n", "id: 4\ndata: a\n\n"))
		is.True(env.serveParts(t, "a", "sound") != nil)
	}
	env.backend.scripts = append(env.backend.scripts[:len(env.backend.calls)], respond(200, "id: 1\ndata: a\n\n"))
	is.NoErr(env.serveParts(t, "a", "sound"))
}

// Guards against a part that crashes one server after the other and is never refused, as the servers send some
// events first.
func TestPartThatCrashesServersAfterSomeEventsIsRefused(t *testing.T) {
	for name, ends := range map[string]error{"cut": nil, "ended with its connection": fmt.Errorf("%w: %w", galenastair.ErrEndUnconfirmed, galenastair.ErrServerEnded)} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			env := newTestEnv()
			clock := &stepClock{now: time.Now(), step: 50 * time.Millisecond}
			env.gateway.clock = clock
			for range 10 {
				clock.now = clock.now.Add(300 * time.Millisecond)
				env.restartServers(clock.now)
				pieces := []string{"id: 1\ndata: a\n\n", "id: 2\ndata: a\n\n", "id: 3\ndata: a\n\n"}
				env.backend.scripts = append(env.backend.scripts[:len(env.backend.calls)], breakOff(sendPieces(clock, pieces...), ends), breakOff(sendPieces(clock), ends))
				is.True(env.serveParts(t, "a", "bad") != nil)
			}
			is.True(len(env.backend.calls) <= 5)
		})
	}
}

// Guards against a part that is cleared by the rest of a stream, which is shorter than what it takes to crash a server.
func TestRestOfAResumedStreamClearsNoCrashes(t *testing.T) {
	is := is.New(t)
	env := newTestEnv()
	clock := &stepClock{now: time.Now(), step: 50 * time.Millisecond}
	env.gateway.clock = clock
	served := 0
	for range 10 {
		clock.now = clock.now.Add(3 * time.Second)
		env.restartServers(clock.now)
		env.backend.scripts = append(env.backend.scripts[:len(env.backend.calls)], sendPieces(clock, "id: 1\ndata: a\n\n", "id: 2\ndata: a\n\n"), respond(200, "id: 3\ndata: a\n\n"))
		if env.serveParts(t, "bad") == nil {
			served++
		}
	}
	// the fourth crash is the last, and not retried
	is.Equal(served, 3)
	is.Equal(len(env.backend.calls), 7)
}

// breakOff has a response that is cut end with a further error, if it is not nil.
func breakOff(s script, further error) script {
	if further == nil {
		return s
	}
	return func(ctx context.Context, c galenastair.BackendRequest) (*galenastair.BackendResponse, error) {
		resp, err := s(ctx, c)
		resp.CloseDelimited = true
		resp.Body = io.NopCloser(io.MultiReader(resp.Body.(truncatedBody).Reader, iotest.ErrReader(fmt.Errorf("%w: %w", galenastair.ErrResponseTruncated, further))))
		return resp, err
	}
}

// Guards against sound requests that count as crashes, as their servers ended after the responses, which had
// neither a length nor chunks.
func TestUnconfirmedEndIsNoCrash(t *testing.T) {
	is := is.New(t)
	unconfirmed := func(context.Context, galenastair.BackendRequest) (*galenastair.BackendResponse, error) {
		body := io.MultiReader(strings.NewReader("page"), iotest.ErrReader(fmt.Errorf("%w: %w", galenastair.ErrResponseTruncated, galenastair.ErrEndUnconfirmed)))
		return &galenastair.BackendResponse{Status: 200, Header: http.Header{}, Body: io.NopCloser(body), CloseDelimited: true}, nil
	}
	const requests = 12
	env := newTestEnv(slices.Repeat([]script{unconfirmed}, 2*requests)...)
	for range requests {
		_, _, err := env.serve(t, "/read/1")
		is.True(errors.Is(err, galenastair.ErrResponseTruncated))
	}
	env.backend.scripts = append(env.backend.scripts[:len(env.backend.calls)], respond(200, "page"))
	_, _, err := env.serve(t, "/read/1")
	is.NoErr(err)
}

// Guards against a stream that can't be resumed and is broken off for a Last-Event-Id that means nothing to it.
func TestLastEventIDOfAStreamThatCannotBeResumedIsIgnored(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(respond(200, "id: 1\ndata: a\n\n"))
	req := testRequest("/once-stream/1")
	req.LastEventID = "12"
	to := &recordedResponse{}
	_, err := env.gateway.Serve(t.Context(), req, to)
	is.NoErr(err)
	is.Equal(to.body.String(), "id: 1\ndata: a\n\n")
}

// Guards against a request that crashes each server as it begins, and is never refused, as the responses have
// neither a length nor chunks.
func TestUnconfirmedEndBeforeTheFirstEventIsACrash(t *testing.T) {
	is := is.New(t)
	crash := func(context.Context, galenastair.BackendRequest) (*galenastair.BackendResponse, error) {
		body := iotest.ErrReader(fmt.Errorf("%w: %w", galenastair.ErrResponseTruncated, galenastair.ErrEndUnconfirmed))
		return &galenastair.BackendResponse{Status: 200, Header: http.Header{}, Body: io.NopCloser(body), CloseDelimited: true}, nil
	}
	const requests = 12
	env := newTestEnv(slices.Repeat([]script{crash}, 2*requests)...)
	for range requests {
		_, _, err := env.serve(t, "/stream/1")
		is.True(err != nil)
	}
	is.True(len(env.backend.calls) < 2*requests)
	sent := len(env.backend.calls)
	_, _, err := env.serve(t, "/stream/1")
	is.True(err != nil)
	is.Equal(len(env.backend.calls), sent)
}

// Guards against a stream that can't be resumed and goes on at another server, as the error that ended it says
// that nothing was sent.
func TestBegunStreamThatCannotBeResumedIsNotSentAgain(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(func(context.Context, galenastair.BackendRequest) (*galenastair.BackendResponse, error) {
		body := io.MultiReader(strings.NewReader("id: 1\ndata: a\n\n"), iotest.ErrReader(fmt.Errorf("%w: %w", galenastair.ErrResponseTruncated, galenastair.ErrNotSent)))
		return &galenastair.BackendResponse{Status: 200, Header: http.Header{}, Body: io.NopCloser(body)}, nil
	}, respond(200, "id: 2\ndata: b\n\n"))
	_, wroteHeader, err := env.serve(t, "/once-stream/1")
	is.True(wroteHeader)
	is.True(err != nil)
	is.Equal(len(env.backend.calls), 1)
}
