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
	"galenastair/catalog"
	"galenastair/claim"
	"galenastair/planner"
	"galenastair/pool"
)

// script answers one call of a backend server.
type script func(ctx context.Context, c galenastair.BackendCall) (*galenastair.BackendAnswer, error)

// backend plays scripts in order and keeps what it was sent.
type backend struct {
	scripts []script
	calls   []galenastair.BackendCall
}

func (b *backend) Call(ctx context.Context, _ string, c galenastair.BackendCall) (*galenastair.BackendAnswer, error) {
	b.calls = append(b.calls, c)
	if len(b.calls) > len(b.scripts) {
		return nil, galenastair.ErrNotSent
	}
	return b.scripts[len(b.calls)-1](ctx, c)
}

// cutBody is a body that breaks off behind its text.
type cutBody struct{ io.Reader }

func (c cutBody) Read(p []byte) (int, error) {
	n, err := c.Reader.Read(p)
	if errors.Is(err, io.EOF) {
		return n, galenastair.ErrAnswerCut
	}
	return n, err
}

func (cutBody) Close() error { return nil }

func whole(status int, text string) script {
	return func(context.Context, galenastair.BackendCall) (*galenastair.BackendAnswer, error) {
		return &galenastair.BackendAnswer{Status: status, Header: http.Header{"X-From": {text}}, Body: io.NopCloser(strings.NewReader(text))}, nil
	}
}

func cut(text string) script {
	return func(context.Context, galenastair.BackendCall) (*galenastair.BackendAnswer, error) {
		return &galenastair.BackendAnswer{Status: 200, Header: http.Header{}, Body: cutBody{strings.NewReader(text)}}, nil
	}
}

func declined() script {
	return func(context.Context, galenastair.BackendCall) (*galenastair.BackendAnswer, error) {
		return &galenastair.BackendAnswer{Status: 503, Header: http.Header{}, Declined: true, Body: io.NopCloser(strings.NewReader(""))}, nil
	}
}

func failing(err error) script {
	return func(context.Context, galenastair.BackendCall) (*galenastair.BackendAnswer, error) { return nil, err }
}

// silent answers nothing until its caller gives up.
func silent(ctx context.Context, _ galenastair.BackendCall) (*galenastair.BackendAnswer, error) {
	<-ctx.Done()
	return nil, context.Cause(ctx)
}

// caller keeps what it was given.
type caller struct {
	status int
	heads  int
	body   strings.Builder
}

func (c *caller) Head(status int, _ http.Header, _ int64) error {
	c.status = status
	c.heads++
	return nil
}

func (c *caller) Write(p []byte) error {
	c.body.Write(p)
	return nil
}

type views struct {
	catalog *catalog.Catalog
	age     time.Duration
}

func (v *views) View() (*catalog.Catalog, time.Duration) { return v.catalog, v.age }

type quotas struct{ refuse bool }

func (q *quotas) Take(time.Time, galenastair.Organisation, float64) bool { return !q.refuse }
func (q *quotas) Borrow(context.Context, galenastair.Organisation, float64) bool {
	return false
}
func (q *quotas) Wait(galenastair.Organisation, float64) time.Duration { return 700 * time.Millisecond }

type placement struct {
	promise planner.Promise
	needs   int
}

func (p *placement) Need(context.Context, galenastair.ModelName) (planner.Promise, error) {
	p.needs++
	return p.promise, nil
}
func (p *placement) Asked(galenastair.ModelName, float64) {}

// bed is a gateway between one caller and scripted backend servers.
type bed struct {
	gateway   *Gateway
	backend   *backend
	views     *views
	quotas    *quotas
	placement *placement
	pool      *pool.Pool
	closing   bool
}

const (
	testKey  = "key-of-org"
	life     = 4 * time.Second
	testHost = "a.example"
)

func newBed(scripts ...script) *bed {
	b := &bed{
		backend:   &backend{scripts: scripts},
		views:     &views{catalog: testCatalog()},
		quotas:    &quotas{},
		placement: &placement{},
		pool:      pool.New("z1"),
	}
	for _, id := range []galenastair.BackendServerID{"s1", "s2", "s3"} {
		b.pool.Set(time.Now(), pool.Server{ID: id, Service: "writer", Address: string(id), AvailabilityZone: "z1", Slots: 8,
			Models: []galenastair.EngineModel{{Name: "m"}}})
		b.pool.Set(time.Now(), pool.Server{ID: "p" + id, Service: "app", Address: string(id), AvailabilityZone: "z1", Slots: 8})
	}
	b.gateway = New(Settings{
		ViewLife: life, RetryRatio: 0.2, RetrySlack: 50,
		Fleet:   func() int { return 1 },
		Closing: func() bool { return b.closing },
	}, Ports{
		Views: b.views, Pool: b.pool, Backend: b.backend, Quota: b.quotas, Placement: b.placement,
		Poison: claim.NewPoison(nil, claim.WithTrials(3, time.Minute)),
	})
	return b
}

func testCatalog() *catalog.Catalog {
	route := func(prefix string, kind catalog.Kind, s galenastair.ServiceName, attempts int) *catalog.Route {
		return &catalog.Route{Name: prefix, Host: testHost, PathPrefix: prefix, Kind: kind, Timeout: 2 * time.Second,
			Aim: 500 * time.Millisecond, Attempts: attempts, Targets: []catalog.Target{{Service: s, Weight: 1}}}
	}
	return catalog.New(1, catalog.Limits{}, []*catalog.Route{
		route("/stream/", catalog.ResumableStream, "writer", 2),
		route("/once-stream/", catalog.Stream, "writer", 1),
		route("/read/", catalog.Idempotent, "app", 2),
		route("/bid/", catalog.AtMostOnce, "app", 2),
	}, []*catalog.Service{{Name: "writer"}, {Name: "app"}}, []*catalog.Organisation{
		{Name: "org", Keys: []galenastair.KeyHash{galenastair.HashKey(testKey)}, Rate: 100, Burst: 100, InTokens: true},
	})
}

func testCall(path string) Call {
	c := Call{ID: "r1", Method: http.MethodPost, Host: testHost, Target: path, Path: path, Header: http.Header{},
		Body: []byte("body"), Key: galenastair.HashKey(testKey), Left: 2 * time.Second, Received: time.Now()}
	if strings.Contains(path, "stream") {
		c.Hints = galenastair.Hints{Model: "m", Prompt: 100, Output: 20, Counted: true}
	}
	return c
}

func (b *bed) serve(t *testing.T, path string) (*caller, bool, error) {
	t.Helper()
	to := &caller{}
	headed, err := b.gateway.Serve(t.Context(), testCall(path), to)
	return to, headed, err
}

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
