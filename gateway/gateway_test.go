package gateway

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"galenastair"
	"galenastair/catalog"
	"galenastair/planner"
	"galenastair/pool"
)

// A backend server closes the connection after it has read a bid, so the bid may have taken
// effect. A retry could bind the buyer twice; the caller gets the outcome Unknown instead.
func TestBidThatMayHaveRunIsSentOnce(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(failWith(galenastair.ErrResponseTruncated), respond(200, "second"))
	_, wroteHeader, err := env.serve(t, "/bid/1")
	is.Equal(len(env.backend.calls), 1)
	is.True(!wroteHeader)
	var r *galenastair.Refusal
	is.True(errors.As(err, &r))
	is.Equal(r.Outcome, galenastair.OutcomeUnknown)
	is.Equal(r.Status(), http.StatusBadGateway)
}

// A backend server starts to leave while the connection to it is established. Without the
// check of Usable the request would still be sent to it.
func TestServerLeavingDuringDialGetsNoRequest(t *testing.T) {
	is := is.New(t)
	var env *testEnv
	dialled := func(_ context.Context, c galenastair.BackendRequest) (*galenastair.BackendResponse, error) {
		is.True(c.ShouldSend())
		env.pool.Remove(c.ExpectedServer)
		is.True(!c.ShouldSend())
		return nil, galenastair.ErrNotSent
	}
	env = newTestEnv(dialled, respond(200, "done"))
	to, _, err := env.serve(t, "/bid/1")
	is.NoErr(err)
	is.Equal(to.body.String(), "done")
}

// The response to a bid is truncated. The bid has run and must not run again.
func TestBidWithTruncatedResponseIsSentOnce(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(truncate("half"), respond(200, "second"))
	to, _, err := env.serve(t, "/bid/1")
	is.True(err != nil)
	is.Equal(len(env.backend.calls), 1)
	is.Equal(to.headerWrites, 0)
}

// A bid may be sent to another backend server if the first one states that it did not run
// it, or could not be reached.
func TestBidThatHasNotRunIsRetried(t *testing.T) {
	for name, first := range map[string]script{"declined": decline(), "not sent": failWith(galenastair.ErrNotSent)} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			env := newTestEnv(first, respond(200, "done"))
			to, _, err := env.serve(t, "/bid/1")
			is.NoErr(err)
			is.Equal(to.body.String(), "done")
			is.True(env.backend.calls[0].ExpectedServer != env.backend.calls[1].ExpectedServer)
		})
	}
}

// All servers decline: the refusal has the outcome NotRun and a Retry-After.
func TestRefusalAfterDeclinesSaysNotRun(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(decline(), decline(), decline(), decline())
	_, _, err := env.serve(t, "/bid/1")
	var r *galenastair.Refusal
	is.True(errors.As(err, &r))
	is.Equal(r.Outcome, galenastair.OutcomeNotRun)
	is.Equal(r.Status(), http.StatusServiceUnavailable)
	is.True(r.RetryAfter > 0)
}

// A read that fails at one server is retried at another within its route's attempts.
func TestReadIsRetriedOnAnotherServer(t *testing.T) {
	for name, first := range map[string]script{
		"error": respond(500, "failed"), "cut": truncate("half"), "crossed": failWith(galenastair.ErrInvalidResponse), "silent": hang,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			env := newTestEnv(first, respond(200, "page"))
			to, _, err := env.serve(t, "/read/1")
			is.NoErr(err)
			is.Equal(to.status, 200)
			is.Equal(to.body.String(), "page")
			is.Equal(to.headerWrites, 1)
		})
	}
}

// A read that fails at every server returns the last server's error response after as many
// attempts as the route allows.
func TestReadStopsAtItsAttempts(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(respond(500, "first"), respond(500, "second"), respond(200, "third"))
	to, _, err := env.serve(t, "/read/1")
	is.NoErr(err)
	is.Equal(to.status, 500)
	is.Equal(to.body.String(), "second")
	is.Equal(len(env.backend.calls), 2)
}

// An engine crashes in the middle of an event. Another engine continues the stream after
// the last complete event, and the caller sees one response without a gap or a duplicate.
func TestStreamResumesOnAnotherServer(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(truncate("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda"), respond(200, "id: 3\ndata: c\n\n"))
	to, wroteHeader, err := env.serve(t, "/stream/1")
	is.NoErr(err)
	is.True(wroteHeader)
	is.Equal(to.headerWrites, 1)
	is.Equal(to.body.String(), "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n")
	is.Equal(env.backend.calls[0].LastEventID, "")
	is.Equal(env.backend.calls[1].LastEventID, "2")
}

// A stream's first engine crashes during the response, and the second returns an error
// status. Appending the error body would give the caller a truncated response that is
// framed as complete.
func TestFailedResumedStreamIsTruncated(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(truncate("id: 1\ndata: a\n\n"), respond(500, "failed"))
	to, wroteHeader, err := env.serve(t, "/stream/1")
	is.True(wroteHeader)
	is.True(err != nil)
	is.Equal(to.headerWrites, 1)
	is.Equal(to.body.String(), "id: 1\ndata: a\n\n")
}

// A stream that ends in the middle of an event is truncated, even if its connection was
// closed cleanly.
func TestStreamEndingInsideEventIsTruncated(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(respond(200, "id: 1\ndata: a\n\nid: 2\nda"))
	to, wroteHeader, err := env.serve(t, "/once-stream/1")
	is.True(wroteHeader)
	is.True(errors.Is(err, galenastair.ErrResponseTruncated))
	is.Equal(to.body.String(), "id: 1\ndata: a\n\n")
	is.Equal(len(env.backend.calls), 1)
}

// hookedPlacement calls onRequest before each placement request.
type hookedPlacement struct {
	*fakePlacement
	onRequest func()
}

func (p hookedPlacement) EnsureLoaded(ctx context.Context, name galenastair.ModelName) (planner.Availability, error) {
	p.onRequest()
	return p.fakePlacement.EnsureLoaded(ctx, name)
}

// An adapter that no server holds is loaded while the caller waits; the request is then
// sent to the promised server.
func TestAdapterIsLoadedOnDemand(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(respond(200, "id: 1\ndata: a\n\n"))
	env.placement.availability = planner.Availability{Server: "s2", ReadyIn: 5 * time.Millisecond}
	req := testRequest("/stream/1")
	req.Hints.Model = "m/a1"
	to := &recordedResponse{}
	_, err := env.gateway.Serve(t.Context(), req, to)
	is.NoErr(err)
	is.Equal(env.backend.calls[0].ExpectedServer, galenastair.BackendServerID("s2"))
	is.Equal(env.placement.requests, 1)
}

// A request for a model that will be loaded too late is refused at once, with a Retry-After.
func TestModelLoadedTooLateIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	env := newTestEnv()
	env.placement.availability = planner.Availability{Server: "s2", ReadyIn: 5 * time.Second}
	req := testRequest("/stream/1")
	req.Hints.Model = "other"
	begun := time.Now()
	_, err := env.gateway.Serve(t.Context(), req, &recordedResponse{})
	var r *galenastair.Refusal
	is.True(errors.As(err, &r))
	is.Equal(r.Outcome, galenastair.OutcomeNotRun)
	is.True(r.RetryAfter > 0)
	is.True(time.Since(begun) < 200*time.Millisecond)
}

// No server holds a model, and loading it takes six seconds. With a fixed Retry-After of
// 1.5 s callers were refused again and gave up. Retry-After must cover the load, up to a
// third of the caller's remaining time.
func TestRetryAfterCoversModelLoad(t *testing.T) {
	is := is.New(t)
	env := newTestEnv()
	req := testRequest("/stream/1")
	req.Hints.Model = "other"
	env.catalogSource.catalog.Match(req.Host, req.Path).Timeout = time.Minute
	retry := func(ready, left time.Duration) time.Duration {
		env.placement.availability = planner.Availability{ReadyIn: ready}
		req.Timeout, req.Received = left, time.Now()
		_, err := env.gateway.Serve(t.Context(), req, &recordedResponse{})
		var r *galenastair.Refusal
		is.True(errors.As(err, &r))
		is.Equal(r.Outcome, galenastair.OutcomeNotRun)
		return r.RetryAfter.Round(100 * time.Millisecond)
	}
	is.Equal(retry(0, 30*time.Second), minModelRetryAfter)
	is.Equal(retry(3*time.Second, 30*time.Second), 3*time.Second)
	is.Equal(retry(6*time.Second, 3*time.Second), time.Second)
}

// A request over its organisation's quota is refused with the time until quota is
// available, and nothing is sent.
func TestOverQuotaIsRefused(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(respond(200, "page"))
	env.quota.refuse = true
	_, _, err := env.serve(t, "/read/1")
	var r *galenastair.Refusal
	is.True(errors.As(err, &r))
	is.Equal(r.Status(), http.StatusTooManyRequests)
	is.Equal(r.RetryAfter, 700*time.Millisecond)
	is.Equal(len(env.backend.calls), 0)
}

// A caller closes its connection while its read waits at an unresponsive server: the read
// is not retried.
func TestCallerThatLeavesEndsTheRequest(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(hang, respond(200, "page"))
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(20*time.Millisecond, cancel)
	_, err := env.gateway.Serve(ctx, testRequest("/read/1"), &recordedResponse{})
	is.True(errors.Is(err, errCallerGone))
	is.Equal(len(env.backend.calls), 1)
}

// Guards against a read that is given up at the only server that is left, beside servers that leave.
func TestReadAtTheOnlyServerLeftIsNotGivenUp(t *testing.T) {
	is := is.New(t)
	answer := respond(200, "page")
	env := newTestEnv(func(ctx context.Context, c galenastair.BackendRequest) (*galenastair.BackendResponse, error) {
		select {
		case <-time.After(2 * minPlainSilence):
			return answer(ctx, c)
		case <-ctx.Done():
			return nil, context.Cause(ctx)
		}
	})
	for _, id := range []galenastair.BackendServerID{"ps2", "ps3"} {
		env.pool.Set(time.Now(), pool.Server{ID: id, Service: "app", Address: string(id), AvailabilityZone: "z1", Slots: 8, Heartbeat: 1, Leaving: true, LeavingSince: time.Now().Add(-time.Minute)})
	}
	to, _, err := env.serve(t, "/read/1")
	is.NoErr(err)
	is.Equal(to.body.String(), "page")
	is.Equal(len(env.backend.calls), 1)
}

// An instance is stopped while a bid waits at a backend server for longer than the shutdown
// may take. The bid may have run: it is not retried, and the caller gets the outcome Unknown.
// The attempt does not count as a failure of the server.
func TestStopReportsOutcomeUnknown(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(hang, respond(200, "done"))
	ctx, cancel := context.WithCancelCause(t.Context())
	time.AfterFunc(20*time.Millisecond, func() { cancel(galenastair.ErrStopping) })
	_, err := env.gateway.Serve(ctx, testRequest("/bid/1"), &recordedResponse{})
	var r *galenastair.Refusal
	is.True(errors.As(err, &r))
	is.True(errors.Is(r, galenastair.ErrStopping))
	is.Equal(r.Outcome, galenastair.OutcomeUnknown)
	is.Equal(len(env.backend.calls), 1)
}

// A request times out at an unresponsive server. The caller gets a 504 at its deadline, and
// not a refusal with the outcome NotRun, as the request may have run.
func TestTimeoutIsReportedAtDeadline(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(hang)
	req := testRequest("/bid/1")
	req.Timeout = 100 * time.Millisecond
	_, err := env.gateway.Serve(t.Context(), req, &recordedResponse{})
	var r *galenastair.Refusal
	is.True(errors.As(err, &r))
	is.Equal(r.Status(), http.StatusGatewayTimeout)
	is.True(time.Since(req.Received) < 300*time.Millisecond)
}

// All servers of a service fail. Retries must stay a share of the traffic, or they would
// multiply the load on servers that fail because of it.
func TestRetriesStayWithinBudget(t *testing.T) {
	is := is.New(t)
	const requests = 400
	scripts := make([]script, 3*requests)
	for i := range scripts {
		scripts[i] = failWith(galenastair.ErrInvalidResponse)
	}
	env := newTestEnv(scripts...)
	for i := range requests {
		req := testRequest("/read/1")
		req.Body = []byte{byte(i), byte(i >> 8)}
		_, _ = env.gateway.Serve(t.Context(), req, &recordedResponse{})
	}
	is.True(len(env.backend.calls)-requests <= int(0.2*requests)+50)
	is.True(len(env.backend.calls) > requests)
}

// An instance that is about to shut down accepts no stream, as the shutdown would truncate it.
func TestDrainingInstanceRefusesStreams(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(respond(200, "page"))
	env.draining = true
	_, _, err := env.serve(t, "/stream/1")
	is.True(errors.Is(err, galenastair.ErrStopping))
	to, _, err := env.serve(t, "/read/1")
	is.NoErr(err)
	is.Equal(to.status, 200)
}

// Requests arrive while an instance starts. Without a wait for the first configuration it
// would refuse all that arrive before it has read it.
func TestFirstRequestsWaitForTheConfiguration(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(respond(200, "page"))
	env.catalogSource.initial, env.catalogSource.catalog = env.catalogSource.catalog, nil
	to, _, err := env.serve(t, "/read/1")
	is.NoErr(err)
	is.Equal(to.status, 200)
}

// Guards against a request in a region that only its route or only its organisation allows.
func TestRouteAndOrganisationRegionsBothBind(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		route, organisation, want []galenastair.Region
		refused                   bool
	}{
		{want: nil},
		{route: []galenastair.Region{"a"}, want: []galenastair.Region{"a"}},
		{organisation: []galenastair.Region{"b"}, want: []galenastair.Region{"b"}},
		{route: []galenastair.Region{"a", "b"}, organisation: []galenastair.Region{"b", "c"}, want: []galenastair.Region{"b"}},
		{route: []galenastair.Region{"a"}, organisation: []galenastair.Region{"c"}, refused: true},
	} {
		a := authorisation{route: &catalog.Route{Regions: c.route}, organisation: &catalog.Organisation{Regions: c.organisation}}
		err := a.restrictRegions()
		is.Equal(err != nil, c.refused)
		if !c.refused {
			is.Equal(a.regions, c.want)
		}
	}
}

// goneCaller is a ResponseWriter whose caller has closed the connection.
type goneCaller struct{ recordedResponse }

func (*goneCaller) Write([]byte) error { return errors.New("broken pipe") }

// Guards against a healthy server that is ejected because callers closed their connections.
func TestCallerThatLeavesDoesNotCountAgainstTheServer(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(slices.Repeat([]script{respond(200, "page")}, 6)...)
	env.keepOneServer()
	for range 6 {
		_, err := env.gateway.Serve(t.Context(), testRequest("/read/1"), &goneCaller{})
		var refusal *galenastair.Refusal
		is.True(errors.As(err, &refusal))
		is.Equal(errorCode(refusal), galenastair.Code("CallerLeft"))
	}
	for _, s := range env.pool.States(time.Now()) {
		is.Equal(s.FailureRate, 0.0)
		is.Equal(s.Unavailable, pool.UnavailableReason(""))
	}
}
