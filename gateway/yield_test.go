package gateway

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"

	"galenastair"
	"galenastair/admission"
	"galenastair/catalog"
	"galenastair/pool"
)

// newYieldEnv returns an environment whose service has an urgent and a patient route.
func newYieldEnv(scripts ...script) *testEnv {
	env := newTestEnv(scripts...)
	route := func(prefix string, priority int, target time.Duration) *catalog.Route {
		return &catalog.Route{Name: prefix, Host: testHost, PathPrefix: prefix, Kind: catalog.ResumableStream, Timeout: 2 * time.Second, Priority: priority,
			TargetLatency: target, MaxAttempts: 2, Targets: []catalog.Target{{Service: "writer", Weight: 1}}}
	}
	env.catalogSource.catalog = catalog.New(1, catalog.Limits{}, []*catalog.Route{
		route("/stream/urgent/", 0, 200*time.Millisecond), route("/stream/short/", 1, 300*time.Millisecond), route("/stream/patient/", 2, 1500*time.Millisecond),
	}, []*catalog.Service{{Name: "writer"}}, []*catalog.Organisation{
		{Name: "org", Keys: []galenastair.KeyHash{galenastair.HashKey(testKey)}, Rate: 100, Burst: 100, CountsTokens: true},
	})
	WithAdmission(admission.New(), false)(env.gateway)
	return env
}

// loadServers has the other instances report pending prompts of the given reading time at all servers.
func (env *testEnv) loadServers(queue time.Duration) {
	loads := map[pool.ServerKey]pool.Load{}
	for _, id := range []galenastair.BackendServerID{"s1", "s2", "s3"} {
		loads[pool.KeyOf(id)] = pool.Load{InFlight: 3, PendingTokens: queue.Seconds() * 20400}
	}
	env.pool.SetPeerLoads(time.Now(), loads)
}

func events(text string) script { return respond(200, "id: 1\ndata: "+text+"\n\n") }

// A patient request that is sent at once takes the place of urgent ones that arrive later. Fails if it
// is sent while the queue is long, or still waits when the queue has gone.
func TestPatientRequestWaitsUntilTheQueueIsShort(t *testing.T) {
	is := is.New(t)
	env := newYieldEnv(events("a"))
	env.loadServers(time.Second)
	time.AfterFunc(200*time.Millisecond, func() { env.loadServers(0) })
	began := time.Now()
	_, _, err := env.serve(t, "/stream/patient/1")
	is.NoErr(err)
	waited := time.Since(began)
	is.True(waited >= 200*time.Millisecond)
	is.True(waited < 1500*time.Millisecond)
	is.Equal(len(env.backend.calls), 1)
	is.Equal(env.gateway.admission.Waiting(), 0)
}

// Urgent requests must be sent as before, however long the queue is.
func TestUrgentRequestIsSentAtOnce(t *testing.T) {
	is := is.New(t)
	env := newYieldEnv(events("a"))
	env.loadServers(time.Second)
	began := time.Now()
	_, _, err := env.serve(t, "/stream/urgent/1")
	is.NoErr(err)
	is.True(time.Since(began) < 100*time.Millisecond)
}

// A refusal promises that the request was not sent. Fails if a request that would be late is sent or
// waits, or if its Retry-After is longer than callers respect.
func TestLateRequestIsRefusedBeforeItIsSent(t *testing.T) {
	is := is.New(t)
	env := newYieldEnv(events("a"))
	env.loadServers(800 * time.Millisecond)
	began := time.Now()
	_, wroteHeader, err := env.serve(t, "/stream/short/1")
	var refused *galenastair.Refusal
	is.True(errors.As(err, &refused))
	is.True(errors.Is(err, galenastair.ErrOverloaded))
	is.Equal(refused.Outcome, galenastair.OutcomeNotRun)
	is.True(refused.RetryAfter > 0)
	is.True(refused.RetryAfter <= 2*time.Second/3)
	is.True(!wroteHeader)
	is.Equal(len(env.backend.calls), 0)
	is.True(time.Since(began) < 100*time.Millisecond)

	env.loadServers(0)
	_, _, err = env.serve(t, "/stream/short/1")
	is.NoErr(err)
	is.Equal(len(env.backend.calls), 1)
}

// A caller that disconnects must free its place at once, and its request must not be sent.
func TestWaitingRequestEndsWithItsCaller(t *testing.T) {
	is := is.New(t)
	env := newYieldEnv(events("a"))
	env.loadServers(time.Second)
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(50*time.Millisecond, cancel)
	began := time.Now()
	_, err := env.gateway.Serve(ctx, testRequest("/stream/patient/1"), &recordedResponse{})
	is.True(errors.Is(err, errCallerGone))
	is.True(time.Since(began) < 150*time.Millisecond)
	is.Equal(len(env.backend.calls), 0)
	is.Equal(env.gateway.admission.Waiting(), 0)
}

// Waiting requests must not keep a stopping instance. Fails if one waits longer than an interval after
// the instance has begun to drain.
func TestWaitingRequestIsSentWhenTheInstanceStops(t *testing.T) {
	is := is.New(t)
	env := newYieldEnv(events("a"))
	env.loadServers(time.Second)
	var draining = make(chan struct{})
	env.gateway.settings.Draining = func() bool {
		select {
		case <-draining:
			return true
		default:
			return false
		}
	}
	time.AfterFunc(50*time.Millisecond, func() { close(draining) })
	began := time.Now()
	_, _, err := env.serve(t, "/stream/patient/1")
	is.NoErr(err)
	is.True(time.Since(began) < 450*time.Millisecond)
}

// The dry run must only log. Fails if a request waits or is refused, or if nothing is logged.
func TestDryRunLogsAndSends(t *testing.T) {
	is := is.New(t)
	env := newYieldEnv(events("a"), events("b"))
	var lines strings.Builder
	WithLogger(log.NewLogfmtLogger(&lines))(env.gateway)
	WithAdmission(admission.New(), true)(env.gateway)
	env.loadServers(800 * time.Millisecond)
	began := time.Now()
	_, _, err := env.serve(t, "/stream/patient/1")
	is.NoErr(err)
	_, _, err = env.serve(t, "/stream/short/1")
	is.NoErr(err)
	is.True(time.Since(began) < 100*time.Millisecond)
	is.True(strings.Contains(lines.String(), "event=yield request=r1 organisation=org"))
	is.True(strings.Contains(lines.String(), "action=wait"))
	is.True(strings.Contains(lines.String(), "action=refuse"))
	is.Equal(env.gateway.admission.Waiting(), 0)
}
