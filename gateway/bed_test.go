package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"galenastair"
	"galenastair/catalog"
	"galenastair/claim"
	"galenastair/planner"
	"galenastair/pool"
	"galenastair/ratelimit"
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
	// first comes while a request waits for it.
	first *catalog.Catalog
}

func (v *views) Await(context.Context) {
	if v.catalog == nil {
		v.catalog = v.first
	}
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
func (p *placement) Asked(galenastair.ModelName, time.Duration) {}

// limits gives its verdicts in order, and grants at once behind the last.
type limits struct {
	verdicts []ratelimit.Verdict
	asked    []ratelimit.Limit
}

func (l *limits) Admit(_ context.Context, limit ratelimit.Limit, _ time.Duration) ratelimit.Verdict {
	l.asked = append(l.asked, limit)
	if len(l.asked) > len(l.verdicts) {
		return ratelimit.Verdict{Granted: true}
	}
	return l.verdicts[len(l.asked)-1]
}

// bed is a gateway between one caller and scripted backend servers.
type bed struct {
	gateway   *Gateway
	backend   *backend
	views     *views
	quotas    *quotas
	placement *placement
	pool      *pool.Pool
	limits    *limits
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
		limits:    &limits{},
	}
	b.addServers()
	b.gateway = New(Settings{
		ViewLife: life, RetryRatio: 0.2, RetrySlack: 50,
		Fleet:   func() int { return 1 },
		Closing: func() bool { return b.closing },
	}, Ports{
		Views: b.views, Pool: b.pool, Backend: b.backend, Quota: b.quotas, Placement: b.placement, Limits: b.limits,
		Poison: claim.NewPoison(nil, claim.WithTrials(3, time.Minute)),
	})
	return b
}

// addServers registers three servers of each service.
func (b *bed) addServers() {
	for _, id := range []galenastair.BackendServerID{"s1", "s2", "s3"} {
		b.pool.Set(time.Now(), pool.Server{ID: id, Service: "writer", Address: string(id), AvailabilityZone: "z1", Slots: 8,
			Models: []galenastair.EngineModel{{Name: "m"}}})
		b.pool.Set(time.Now(), pool.Server{ID: "p" + id, Service: "app", Address: string(id), AvailabilityZone: "z1", Slots: 8})
	}
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
