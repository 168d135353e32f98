package gateway

import (
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"galenastair"
	"galenastair/planner"
)

// An instance that can't reach the store does not learn of withdrawn or new keys. It must
// refuse with the outcome NotRun, and not report the key as unknown.
func TestOutdatedCatalogAdmitsNoKey(t *testing.T) {
	for name, v := range map[string]*fakeCatalogSource{
		"not loaded": {}, "too old": {catalog: testCatalog(), age: maxCatalogAge},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			env := newTestEnv(respond(200, "page"))
			env.gateway.catalogSource = v
			_, _, err := env.serve(t, "/read/1")
			var r *galenastair.Refusal
			is.True(errors.As(err, &r))
			is.Equal(r.Status(), http.StatusServiceUnavailable)
			is.Equal(r.Outcome, galenastair.OutcomeNotRun)
			is.Equal(len(env.backend.calls), 0)
		})
	}
}

// Guards against a request that is denied for good by an outdated configuration, though a newer
// version has its route or key.
func TestOutdatedCatalogDeniesNothing(t *testing.T) {
	for name, change := range map[string]func(*Request){
		"route":       func(r *Request) { r.Path = "/new/1" },
		"key":         func(r *Request) { r.Key = "new-key" },
		"missing key": func(r *Request) { r.Key = "" },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			env := newTestEnv()
			req := testRequest("/read/1")
			change(&req)
			env.catalogSource.age = maxDenialAge - time.Millisecond
			_, err := env.gateway.Serve(t.Context(), req, &recordedResponse{})
			is.True(!errors.Is(err, galenastair.ErrNoConfiguration))
			env.catalogSource.age = maxDenialAge
			_, err = env.gateway.Serve(t.Context(), req, &recordedResponse{})
			is.True(errors.Is(err, galenastair.ErrNoConfiguration))
		})
	}
}

// The configuration becomes too old while a request waits for its adapter, so that its key
// may have been withdrawn: the request must not be sent.
func TestKeyIsCheckedAgainBeforeSending(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(respond(200, "id: 1\ndata: a\n\n"))
	env.placement.availability = planner.Availability{Server: "s1", ReadyIn: 50 * time.Millisecond}
	env.gateway.placement = hookedPlacement{env.placement, func() { env.catalogSource.age = maxCatalogAge }}
	req := testRequest("/stream/1")
	req.Hints.Model = "m/a1"
	_, err := env.gateway.Serve(t.Context(), req, &recordedResponse{})
	is.True(errors.Is(err, galenastair.ErrNoConfiguration))
	is.Equal(len(env.backend.calls), 0)
}

// Guards against urgent and patient requests that reach the engines at the same level.
func TestEngineGetsTheLevelOfTheRequest(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(respond(200, "id: 1\ndata: a\n\n"), respond(200, "id: 1\ndata: a\n\n"))
	current := env.catalogSource.catalog
	current.Organisation("org").HasPriority, current.Organisation("org").Priority = true, 1
	current.Match(testHost, "/once-stream/1").Priority = 2
	for _, path := range []string{"/stream/1", "/once-stream/1"} {
		_, _, err := env.serve(t, path)
		is.NoErr(err)
	}
	is.Equal(env.backend.calls[0].Priority, 3)
	is.Equal(env.backend.calls[1].Priority, 5)
}
