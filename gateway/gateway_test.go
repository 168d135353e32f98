package gateway

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"galenastair"
	"galenastair/planner"
)

// A bid's backend server closes the connection after it has read the bid. The bid may
// stand: sent once more, it would bind the buyer twice. The caller is told that nothing
// is known.
func TestBidThatMayHaveRunIsSentOnce(t *testing.T) {
	is := is.New(t)
	b := newBed(failing(galenastair.ErrAnswerCut), whole(200, "second"))
	_, headed, err := b.serve(t, "/bid/1")
	is.Equal(len(b.backend.calls), 1)
	is.True(!headed)
	var r *galenastair.Refusal
	is.True(errors.As(err, &r))
	is.Equal(r.Outcome, galenastair.Unknown)
	is.Equal(r.Status(), http.StatusBadGateway)
}

// A backend server leaves while the connection to it is made, and gets the request all the same.
func TestServerThatLeavesWhileItIsDialledGetsNothing(t *testing.T) {
	is := is.New(t)
	var b *bed
	dialled := func(_ context.Context, c galenastair.BackendCall) (*galenastair.BackendAnswer, error) {
		is.True(c.Usable())
		b.pool.Remove(c.Expect)
		is.True(!c.Usable())
		return nil, galenastair.ErrNotSent
	}
	b = newBed(dialled, whole(200, "done"))
	to, _, err := b.serve(t, "/bid/1")
	is.NoErr(err)
	is.Equal(to.body.String(), "done")
}

// A bid's answer is cut on the way. It has run, and must not run again.
func TestBidWithCutAnswerIsSentOnce(t *testing.T) {
	is := is.New(t)
	b := newBed(cut("half"), whole(200, "second"))
	to, _, err := b.serve(t, "/bid/1")
	is.True(err != nil)
	is.Equal(len(b.backend.calls), 1)
	is.Equal(to.heads, 0)
}

// A backend server that says that it has not run a bid leaves it free for another; so
// does one that could not be reached at all.
func TestBidThatHasNotRunGoesElsewhere(t *testing.T) {
	for name, first := range map[string]script{"declined": declined(), "not sent": failing(galenastair.ErrNotSent)} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newBed(first, whole(200, "done"))
			to, _, err := b.serve(t, "/bid/1")
			is.NoErr(err)
			is.Equal(to.body.String(), "done")
			is.True(b.backend.calls[0].Expect != b.backend.calls[1].Expect)
		})
	}
}

// All servers decline: the refusal says that the request has not run, and when to come.
func TestRefusalAfterDeclinesSaysNotRun(t *testing.T) {
	is := is.New(t)
	b := newBed(declined(), declined(), declined(), declined())
	_, _, err := b.serve(t, "/bid/1")
	var r *galenastair.Refusal
	is.True(errors.As(err, &r))
	is.Equal(r.Outcome, galenastair.NotRun)
	is.Equal(r.Status(), http.StatusServiceUnavailable)
	is.True(r.RetryAfter > 0)
}

// A read fails at one server and is answered by another within its route's attempts.
func TestReadGoesToAnotherServer(t *testing.T) {
	for name, first := range map[string]script{
		"error": whole(500, "failed"), "cut": cut("half"), "crossed": failing(galenastair.ErrCrossed), "silent": silent,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newBed(first, whole(200, "page"))
			to, _, err := b.serve(t, "/read/1")
			is.NoErr(err)
			is.Equal(to.status, 200)
			is.Equal(to.body.String(), "page")
			is.Equal(to.heads, 1)
		})
	}
}

// A read that fails everywhere ends with the last server's own failure, and visits no
// more servers than the route allows.
func TestReadStopsAtItsAttempts(t *testing.T) {
	is := is.New(t)
	b := newBed(whole(500, "first"), whole(500, "second"), whole(200, "third"))
	to, _, err := b.serve(t, "/read/1")
	is.NoErr(err)
	is.Equal(to.status, 500)
	is.Equal(to.body.String(), "second")
	is.Equal(len(b.backend.calls), 2)
}

// An engine dies in the middle of an event. The stream goes on at another engine behind
// the last whole event: its caller sees one answer without a gap or a piece twice.
func TestStreamGoesOnElsewhere(t *testing.T) {
	is := is.New(t)
	b := newBed(cut("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda"), whole(200, "id: 3\ndata: c\n\n"))
	to, headed, err := b.serve(t, "/stream/1")
	is.NoErr(err)
	is.True(headed)
	is.Equal(to.heads, 1)
	is.Equal(to.body.String(), "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n")
	is.Equal(b.backend.calls[0].After, "")
	is.Equal(b.backend.calls[1].After, "2")
}

// A stream's first engine crashes in mid-answer; the second answers with an error. The
// error's body was appended, and the caller got a short answer framed as whole.
func TestResumedStreamThatFailsLooksCut(t *testing.T) {
	is := is.New(t)
	b := newBed(cut("id: 1\ndata: a\n\n"), whole(500, "failed"))
	to, headed, err := b.serve(t, "/stream/1")
	is.True(headed)
	is.True(err != nil)
	is.Equal(to.heads, 1)
	is.Equal(to.body.String(), "id: 1\ndata: a\n\n")
}

// A stream whose connection ends as it should, but in the middle of an event, is cut.
func TestStreamThatEndsInAnEventIsCut(t *testing.T) {
	is := is.New(t)
	b := newBed(whole(200, "id: 1\ndata: a\n\nid: 2\nda"))
	to, headed, err := b.serve(t, "/once-stream/1")
	is.True(headed)
	is.True(errors.Is(err, galenastair.ErrAnswerCut))
	is.Equal(to.body.String(), "id: 1\ndata: a\n\n")
	is.Equal(len(b.backend.calls), 1)
}

// An instance that has lost the store knows neither that a key was withdrawn nor that
// one was given: it must refuse as not run, and not say that the key is unknown.
func TestOldViewAdmitsNoKey(t *testing.T) {
	for name, v := range map[string]*views{
		"none yet": {}, "too old": {catalog: testCatalog(), age: life},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newBed(whole(200, "page"))
			b.gateway.views = v
			_, _, err := b.serve(t, "/read/1")
			var r *galenastair.Refusal
			is.True(errors.As(err, &r))
			is.Equal(r.Status(), http.StatusServiceUnavailable)
			is.Equal(r.Outcome, galenastair.NotRun)
			is.Equal(len(b.backend.calls), 0)
		})
	}
}

// A request waits for its adapter while its key is withdrawn: it must not be sent.
func TestKeyIsCheckedAgainBeforeSending(t *testing.T) {
	is := is.New(t)
	b := newBed(whole(200, "id: 1\ndata: a\n\n"))
	b.placement.promise = planner.Promise{Server: "s1", Ready: 50 * time.Millisecond}
	b.gateway.placement = needing{b.placement, func() { b.views.age = life }}
	call := testCall("/stream/1")
	call.Hints.Model = "m/a1"
	_, err := b.gateway.Serve(t.Context(), call, &caller{})
	is.True(errors.Is(err, galenastair.ErrConfiguration))
	is.Equal(len(b.backend.calls), 0)
}

// needing does something while a request waits for its place.
type needing struct {
	*placement
	then func()
}

func (n needing) Need(ctx context.Context, name galenastair.ModelName) (planner.Promise, error) {
	n.then()
	return n.placement.Need(ctx, name)
}

// An adapter that no server holds is fetched while its caller waits; the request then
// goes to the server that was promised.
func TestAdapterIsFetchedOnDemand(t *testing.T) {
	is := is.New(t)
	b := newBed(whole(200, "id: 1\ndata: a\n\n"))
	b.placement.promise = planner.Promise{Server: "s2", Ready: 5 * time.Millisecond}
	call := testCall("/stream/1")
	call.Hints.Model = "m/a1"
	to := &caller{}
	_, err := b.gateway.Serve(t.Context(), call, to)
	is.NoErr(err)
	is.Equal(b.backend.calls[0].Expect, galenastair.BackendServerID("s2"))
	is.Equal(b.placement.needs, 1)
}

// A model that will be there too late is refused at once, with the time to come back.
func TestModelThatComesTooLateIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	b := newBed()
	b.placement.promise = planner.Promise{Server: "s2", Ready: 5 * time.Second}
	call := testCall("/stream/1")
	call.Hints.Model = "other"
	begun := time.Now()
	_, err := b.gateway.Serve(t.Context(), call, &caller{})
	var r *galenastair.Refusal
	is.True(errors.As(err, &r))
	is.Equal(r.Outcome, galenastair.NotRun)
	is.True(r.RetryAfter > 0)
	is.True(time.Since(begun) < 200*time.Millisecond)
}

// A model has no copy, and a load takes six seconds. Its caller was told to come back after
// one and a half, was refused again and gave up; it is told the time of a load now, as far as
// a third of its own time goes.
func TestModelWithoutACopyIsWorthAskingForAfterALoad(t *testing.T) {
	is := is.New(t)
	b := newBed()
	call := testCall("/stream/1")
	call.Hints.Model = "other"
	b.views.catalog.Match(call.Host, call.Path).Timeout = time.Minute
	retry := func(ready, left time.Duration) time.Duration {
		b.placement.promise = planner.Promise{Ready: ready}
		call.Left, call.Received = left, time.Now()
		_, err := b.gateway.Serve(t.Context(), call, &caller{})
		var r *galenastair.Refusal
		is.True(errors.As(err, &r))
		is.Equal(r.Outcome, galenastair.NotRun)
		return r.RetryAfter.Round(100 * time.Millisecond)
	}
	is.Equal(retry(0, 30*time.Second), retryModel)
	is.Equal(retry(3*time.Second, 30*time.Second), 3*time.Second)
	is.Equal(retry(6*time.Second, 3*time.Second), time.Second)
}

// An organisation over its quota is told when there is room again; nothing is sent.
func TestOverQuotaIsRefused(t *testing.T) {
	is := is.New(t)
	b := newBed(whole(200, "page"))
	b.quotas.refuse = true
	_, _, err := b.serve(t, "/read/1")
	var r *galenastair.Refusal
	is.True(errors.As(err, &r))
	is.Equal(r.Status(), http.StatusTooManyRequests)
	is.Equal(r.RetryAfter, 700*time.Millisecond)
	is.Equal(len(b.backend.calls), 0)
}

// A caller leaves while its read waits at a dark server: the read goes nowhere else.
func TestCallerThatLeavesEndsTheRequest(t *testing.T) {
	is := is.New(t)
	b := newBed(silent, whole(200, "page"))
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(20*time.Millisecond, cancel)
	_, err := b.gateway.Serve(ctx, testCall("/read/1"), &caller{})
	is.True(errors.Is(err, errLeft))
	is.Equal(len(b.backend.calls), 1)
}

// An instance is stopped while a bid waits at a backend server, for longer than the stop may
// take. The bid may have run: it is sent nowhere else and its caller is not told that it
// has not; the server is not to blame.
func TestStopEndsARequestTruthfully(t *testing.T) {
	is := is.New(t)
	b := newBed(silent, whole(200, "done"))
	ctx, cancel := context.WithCancelCause(t.Context())
	time.AfterFunc(20*time.Millisecond, func() { cancel(galenastair.ErrStopping) })
	_, err := b.gateway.Serve(ctx, testCall("/bid/1"), &caller{})
	var r *galenastair.Refusal
	is.True(errors.As(err, &r))
	is.True(errors.Is(r, galenastair.ErrStopping))
	is.Equal(r.Outcome, galenastair.Unknown)
	is.Equal(len(b.backend.calls), 1)
}

// A request's time runs out at a dark server. It gets its final answer then, and that
// does not claim that the request has not run.
func TestTimeoutIsToldAtOnce(t *testing.T) {
	is := is.New(t)
	b := newBed(silent)
	call := testCall("/bid/1")
	call.Left = 100 * time.Millisecond
	_, err := b.gateway.Serve(t.Context(), call, &caller{})
	var r *galenastair.Refusal
	is.True(errors.As(err, &r))
	is.Equal(r.Status(), http.StatusGatewayTimeout)
	is.True(time.Since(call.Received) < 300*time.Millisecond)
}

// A request that crashes whatever runs it comes again and again: after three crashed
// servers it is refused, and the others are spared.
func TestRequestThatKillsIsRefused(t *testing.T) {
	is := is.New(t)
	b := newBed(failing(galenastair.ErrAnswerCut), failing(galenastair.ErrAnswerCut), failing(galenastair.ErrAnswerCut), whole(200, "x"))
	for range 6 {
		_, _, err := b.serve(t, "/bid/1")
		is.True(err != nil)
	}
	is.Equal(len(b.backend.calls), 3)
}

// All servers of a service fail: retries stay a share of the traffic, or they would
// multiply the load on servers that are down under it.
func TestRetriesKeepTheirBudget(t *testing.T) {
	is := is.New(t)
	const requests = 400
	scripts := make([]script, 3*requests)
	for i := range scripts {
		scripts[i] = failing(galenastair.ErrCrossed)
	}
	b := newBed(scripts...)
	for i := range requests {
		call := testCall("/read/1")
		call.Body = []byte{byte(i), byte(i >> 8)}
		_, _ = b.gateway.Serve(t.Context(), call, &caller{})
	}
	is.True(len(b.backend.calls)-requests <= int(0.2*requests)+50)
	is.True(len(b.backend.calls) > requests)
}

// An instance that is about to end takes no stream, which would be cut by its end.
func TestClosingInstanceTakesNoStream(t *testing.T) {
	is := is.New(t)
	b := newBed(whole(200, "page"))
	b.closing = true
	_, _, err := b.serve(t, "/stream/1")
	is.True(errors.Is(err, galenastair.ErrStopping))
	to, _, err := b.serve(t, "/read/1")
	is.NoErr(err)
	is.Equal(to.status, 200)
}

// An instance that has just started refuses all that come before it has read the
// configuration, a moment later.
func TestFirstRequestsWaitForTheConfiguration(t *testing.T) {
	is := is.New(t)
	b := newBed(whole(200, "page"))
	b.views.first, b.views.catalog = b.views.catalog, nil
	to, _, err := b.serve(t, "/read/1")
	is.NoErr(err)
	is.Equal(to.status, 200)
}
