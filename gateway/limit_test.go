package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"galenastair"
	"galenastair/planner"
	"galenastair/pool"
	"galenastair/ratelimit"
)

// respondWithLimit sends a complete response that advertises a rate limit.
func respondWithLimit(context.Context, galenastair.BackendRequest) (*galenastair.BackendResponse, error) {
	return &galenastair.BackendResponse{Status: 200, Header: http.Header{}, RateLimit: 1, Body: io.NopCloser(strings.NewReader("done"))}, nil
}

// keepOneServer removes all backend servers but one of each service, s1 and ps1.
func (env *testEnv) keepOneServer() {
	for _, other := range []galenastair.BackendServerID{"s2", "s3"} {
		env.pool.Remove(other)
		env.pool.Remove("p" + other)
	}
}

// After a server has advertised a rate limit, each request to it must pass the limiter.
func TestLimiterIsAskedBeforeEachSend(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(respondWithLimit, respondWithLimit, respond(200, "done"), respond(200, "done"))
	env.keepOneServer()
	for range 4 {
		_, _, err := env.serve(t, "/bid/1")
		is.NoErr(err)
	}
	// The third response advertises no limit any more.
	is.Equal(len(env.limiter.calls), 2)
	is.Equal(env.limiter.calls[0].Server, galenastair.BackendServerID("ps1"))
	is.Equal(env.limiter.calls[0].PerSecond, 1.0)
}

// A server whose queue is full declines a request without advertising its limit. The decline
// must not end the limit that it advertised before.
func TestDeclineDoesNotEndALimit(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(respondWithLimit, decline(), respond(200, "done"), respond(200, "done"))
	env.keepOneServer()
	for range 4 {
		_, _, _ = env.serve(t, "/bid/1")
	}
	// The response to the third request ends the limit.
	is.Equal(len(env.limiter.calls), 2)
}

// The only server admits no more requests before the deadline. The request must be refused at
// once and with a Retry-After, not held until its deadline.
func TestExhaustedLimitIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(respondWithLimit)
	env.keepOneServer()
	_, _, err := env.serve(t, "/bid/1")
	is.NoErr(err)
	env.limiter.decisions = []ratelimit.Decision{{Delay: 1900 * time.Millisecond}}
	begun := time.Now()
	_, _, err = env.serve(t, "/bid/1")
	is.True(time.Since(begun) < 100*time.Millisecond)
	var r *galenastair.Refusal
	is.True(errors.As(err, &r))
	is.Equal(r.Outcome, galenastair.OutcomeNotRun)
	is.Equal(r.Status(), http.StatusServiceUnavailable)
	is.True(r.RetryAfter >= 600*time.Millisecond)
	is.Equal(len(env.backend.calls), 1)
}

// A request waits if the server admits it before the deadline.
func TestRequestWaitsForLimit(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(respondWithLimit, respondWithLimit)
	env.keepOneServer()
	_, _, err := env.serve(t, "/bid/1")
	is.NoErr(err)
	env.limiter.decisions = []ratelimit.Decision{{Granted: true, Delay: 150 * time.Millisecond}}
	begun := time.Now()
	_, _, err = env.serve(t, "/bid/1")
	is.NoErr(err)
	is.True(time.Since(begun) >= 150*time.Millisecond)
}

// The only engine with a model is at its rate limit. The planner must be asked for another
// one, as that can hold the model before the deadline.
func TestModelAtLimitIsLoadedElsewhere(t *testing.T) {
	is := is.New(t)
	answer := func(_ context.Context, c galenastair.BackendRequest) (*galenastair.BackendResponse, error) {
		return &galenastair.BackendResponse{Status: 200, Header: http.Header{}, RateLimit: 1, Body: io.NopCloser(strings.NewReader("id: 1\ndata: a\n\n"))}, nil
	}
	env := newTestEnv(answer, answer)
	env.keepOneServer()
	_, _, err := env.serve(t, "/stream/1")
	is.NoErr(err)
	env.pool.Set(time.Now(), pool.Server{ID: "s2", Service: "writer", Address: "s2", AvailabilityZone: "z1", Slots: 8})
	env.limiter.decisions = []ratelimit.Decision{{Delay: time.Minute}}
	env.placement.availability = planner.Availability{Server: "s2"}
	_, _, err = env.serve(t, "/stream/1")
	is.NoErr(err)
	is.Equal(env.placement.requests, 1)
	is.Equal(env.backend.calls[1].ExpectedServer, galenastair.BackendServerID("s2"))
}

// A server at its rate limit is skipped while another one can serve the request.
func TestServerAtLimitIsSkipped(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(respondWithLimit, respond(200, "done"), respond(200, "done"))
	env.keepOneServer()
	_, _, err := env.serve(t, "/bid/1")
	is.NoErr(err)
	env.addServers()
	env.limiter.decisions = []ratelimit.Decision{{Delay: time.Minute}}
	for range 2 {
		to, _, err := env.serve(t, "/bid/1")
		is.NoErr(err)
		is.Equal(to.body.String(), "done")
	}
	for _, c := range env.backend.calls[1:] {
		is.True(c.ExpectedServer != "ps1")
	}
}

// Guards against a request that is tried at servers that want none, instead of being refused at once with the
// time at which the first of them accepts requests again.
func TestAllServersBackingOffIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	const backoff = 400 * time.Millisecond
	declineWithBackoff := func(ctx context.Context, c galenastair.BackendRequest) (*galenastair.BackendResponse, error) {
		resp, err := decline()(ctx, c)
		resp.Backoff = backoff
		return resp, err
	}
	env := newTestEnv(declineWithBackoff, declineWithBackoff, declineWithBackoff)
	_, _, err := env.serve(t, "/bid/1")
	is.True(err != nil)
	is.Equal(len(env.backend.calls), 3)
	_, _, err = env.serve(t, "/bid/1")
	is.Equal(len(env.backend.calls), 3)
	var refusal *galenastair.Refusal
	is.True(errors.As(err, &refusal))
	is.Equal(refusal.Outcome, galenastair.OutcomeNotRun)
	is.True(refusal.RetryAfter > 0 && refusal.RetryAfter <= backoff)
}
