package gateway

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"galenastair"
	"galenastair/claim"
)

// newPartitionedEnv returns an instance that is partitioned from all backend servers. Others answer the
// requests that it forwards with the scripts.
func newPartitionedEnv(scripts ...script) *testEnv {
	env := newTestEnv()
	env.peers.partitioned, env.peers.addresses = true, []string{"peer-1", "peer-2"}
	env.peerBackend.scripts = scripts
	return env
}

// Guards against a request that is charged twice, or sent to a server, though another instance serves it.
func TestPartitionedInstanceForwards(t *testing.T) {
	is := is.New(t)
	env := newPartitionedEnv(respond(200, "page"))
	to, _, err := env.serve(t, "/read/1")
	is.NoErr(err)
	is.Equal(to.body.String(), "page")
	is.Equal(len(env.backend.calls), 0)
	is.Equal(env.quota.taken, 0)
	is.Equal(*env.peerBackend.calls[0].Forwarding, galenastair.Forwarding{Key: galenastair.HashKey(testKey), Attempts: 2})
}

// Guards against a request that crashes servers and is allowed again, because the instance took the error
// of the one that it forwarded it to for a server's.
func TestForwardedRequestIsNotCleared(t *testing.T) {
	is := is.New(t)
	env := newPartitionedEnv(respond(502, "cut"))
	req := testRequest("/read/1")
	digest := claim.DigestOf("org", req.Method+" "+req.Target, req.Body)
	crash := func(server claim.ServerProcess) {
		env.gateway.crashes.RecordCrash(time.Now(), claim.Run{Digest: digest, Server: server})
	}
	crash("s1@1")
	crash("s2@1")
	_, _ = env.gateway.Serve(t.Context(), req, &recordedResponse{})
	is.Equal(len(env.peerBackend.calls), 1)
	crash("s3@1")
	// a completion clears crashes only after some time
	is.True(env.gateway.crashes.AllowRequest(time.Now().Add(time.Minute), digest) != nil)
}

// Guards against a request that is refused because the partition began while it was served.
func TestRequestIsForwardedOnceAPartitionIsConfirmed(t *testing.T) {
	is := is.New(t)
	env := newPartitionedEnv(respond(200, "page"))
	env.peers.partitioned, env.peers.confirmed = false, true
	to, _, err := env.serve(t, "/bid/1")
	is.NoErr(err)
	is.Equal(to.body.String(), "page")
	is.Equal(len(env.backend.calls), 1)
	is.True(env.peerBackend.calls[0].Forwarding.Charged)
}

// Guards against instances that forward a request to each other in a circle.
func TestForwardedRequestIsNotForwarded(t *testing.T) {
	is := is.New(t)
	env := newPartitionedEnv(respond(200, "page"))
	req := testRequest("/read/1")
	req.Forwarded, req.Charged = true, true
	_, err := env.gateway.Serve(t.Context(), req, &recordedResponse{})
	var refused *galenastair.Refusal
	is.True(errors.As(err, &refused))
	is.Equal(refused.Status(), 503)
	is.Equal(len(env.peerBackend.calls), 0)
	is.Equal(env.quota.taken, 0)
}

// Guards against a request that may run once and is forwarded a second time.
func TestUnansweredForwardIsNotRepeated(t *testing.T) {
	is := is.New(t)
	env := newPartitionedEnv(failWith(galenastair.ErrResponseTruncated), respond(200, "page"))
	_, _, err := env.serve(t, "/bid/1")
	var refused *galenastair.Refusal
	is.True(errors.As(err, &refused))
	is.Equal(refused.Outcome, galenastair.OutcomeUnknown)
	is.Equal(len(env.peerBackend.calls), 1)
}

// Guards against a caller that is refused because the first of the other instances is gone.
func TestNextInstanceIsTriedIfOneIsGone(t *testing.T) {
	is := is.New(t)
	env := newPartitionedEnv(failWith(galenastair.ErrNotSent), respond(200, "page"))
	to, _, err := env.serve(t, "/bid/1")
	is.NoErr(err)
	is.Equal(to.body.String(), "page")
}

// Guards against a refusal that loses its promise, or is asked for again at other instances.
func TestRefusalOfAnotherInstanceIsPassedOn(t *testing.T) {
	is := is.New(t)
	env := newPartitionedEnv(decline(), respond(200, "page"))
	_, _, err := env.serve(t, "/read/1")
	var refused *galenastair.Refusal
	is.True(errors.As(err, &refused))
	is.Equal(refused.Outcome, galenastair.OutcomeNotRun)
	is.Equal(refused.Status(), 503)
	is.Equal(len(env.peerBackend.calls), 1)
}

// Guards against a request that runs on more servers than its route's attempts, as each instance that it
// is forwarded to has all of them.
func TestForwardedRequestUsesItsAttemptsOnce(t *testing.T) {
	for name, answer := range map[string]script{
		"error": respond(500, "failed"), "cut": failWith(galenastair.ErrResponseTruncated), "broken stream": truncate("id: 1\ndata: a\n\nid: 2\nda"),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			env := newPartitionedEnv(answer, respond(200, "page"))
			_, _, _ = env.serve(t, "/stream/1")
			is.Equal(len(env.peerBackend.calls), 1)
			is.Equal(env.peerBackend.calls[0].Forwarding.Attempts, 2)
		})
	}
}

// Guards against an instance that has used a part of the attempts and forwards the request with all.
func TestForwardedRequestHasTheAttemptsThatAreLeft(t *testing.T) {
	is := is.New(t)
	env := newPartitionedEnv(respond(200, "page"))
	env.peers.partitioned, env.peers.confirmed = false, true
	env.backend.scripts = []script{failWith(galenastair.ErrProgressTimeout)}
	_, _, err := env.serve(t, "/read/1")
	is.NoErr(err)
	is.Equal(env.peerBackend.calls[0].Forwarding.Attempts, 1)
}

// Guards against an instance that gives a forwarded request more attempts than were left of them.
func TestAttemptsOfAForwardedRequestAreLimited(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(respond(500, "failed"), respond(200, "page"))
	req := testRequest("/read/1")
	req.Forwarded, req.Attempts = true, 1
	_, _ = env.gateway.Serve(t.Context(), req, &recordedResponse{})
	is.Equal(len(env.backend.calls), 1)
}
