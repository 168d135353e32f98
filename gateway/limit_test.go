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

// limited answers whole and names a limit.
func limited(context.Context, galenastair.BackendCall) (*galenastair.BackendAnswer, error) {
	return &galenastair.BackendAnswer{Status: 200, Header: http.Header{}, Limit: 1, Body: io.NopCloser(strings.NewReader("done"))}, nil
}

// leaveOne leaves one backend server of each service, s1 and ps1.
func (b *bed) leaveOne() {
	for _, other := range []galenastair.BackendServerID{"s2", "s3"} {
		b.pool.Remove(other)
		b.pool.Remove("p" + other)
	}
}

// A server names a limit, and requests go on to it without asking.
func TestLimitIsAskedForBeforeEachSend(t *testing.T) {
	is := is.New(t)
	b := newBed(limited, limited, whole(200, "done"), whole(200, "done"))
	b.leaveOne()
	for range 4 {
		_, _, err := b.serve(t, "/bid/1")
		is.NoErr(err)
	}
	// the third answer names none any more
	is.Equal(len(b.limits.asked), 2)
	is.Equal(b.limits.asked[0].Server, galenastair.BackendServerID("ps1"))
	is.Equal(b.limits.asked[0].PerSecond, 1.0)
}

// A server that declines a request names no limit, as its queue is full, and the limit that it
// has named ends.
func TestDeclineDoesNotEndALimit(t *testing.T) {
	is := is.New(t)
	b := newBed(limited, declined(), whole(200, "done"), whole(200, "done"))
	b.leaveOne()
	for range 4 {
		_, _, _ = b.serve(t, "/bid/1")
	}
	// the answer to the third request ends it
	is.Equal(len(b.limits.asked), 2)
}

// The only server takes no more in the request's time: the request is held and then refused, or
// refused without a time to come back.
func TestNoTurnInTimeIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	b := newBed(limited)
	b.leaveOne()
	_, _, err := b.serve(t, "/bid/1")
	is.NoErr(err)
	b.limits.verdicts = []ratelimit.Verdict{{Wait: 1900 * time.Millisecond}}
	begun := time.Now()
	_, _, err = b.serve(t, "/bid/1")
	is.True(time.Since(begun) < 100*time.Millisecond)
	var r *galenastair.Refusal
	is.True(errors.As(err, &r))
	is.Equal(r.Outcome, galenastair.NotRun)
	is.Equal(r.Status(), http.StatusServiceUnavailable)
	is.True(r.RetryAfter >= 600*time.Millisecond)
	is.Equal(len(b.backend.calls), 1)
}

// A turn within the request's time is waited for.
func TestTurnIsWaitedFor(t *testing.T) {
	is := is.New(t)
	b := newBed(limited, limited)
	b.leaveOne()
	_, _, err := b.serve(t, "/bid/1")
	is.NoErr(err)
	b.limits.verdicts = []ratelimit.Verdict{{Granted: true, Wait: 150 * time.Millisecond}}
	begun := time.Now()
	_, _, err = b.serve(t, "/bid/1")
	is.NoErr(err)
	is.True(time.Since(begun) >= 150*time.Millisecond)
}

// The only engine of a model is at its limit: the planner is not asked, and the request is
// refused although another engine has the model within its time.
func TestModelAtItsLimitIsAskedForElsewhere(t *testing.T) {
	is := is.New(t)
	answer := func(_ context.Context, c galenastair.BackendCall) (*galenastair.BackendAnswer, error) {
		return &galenastair.BackendAnswer{Status: 200, Header: http.Header{}, Limit: 1, Body: io.NopCloser(strings.NewReader("id: 1\ndata: a\n\n"))}, nil
	}
	b := newBed(answer, answer)
	b.leaveOne()
	_, _, err := b.serve(t, "/stream/1")
	is.NoErr(err)
	b.pool.Set(time.Now(), pool.Server{ID: "s2", Service: "writer", Address: "s2", AvailabilityZone: "z1", Slots: 8})
	b.limits.verdicts = []ratelimit.Verdict{{Wait: time.Minute}}
	b.placement.promise = planner.Promise{Server: "s2"}
	_, _, err = b.serve(t, "/stream/1")
	is.NoErr(err)
	is.Equal(b.placement.needs, 1)
	is.Equal(b.backend.calls[1].Expect, galenastair.BackendServerID("s2"))
}

// A server without a turn is passed by while another has the model.
func TestServerWithoutATurnIsPassedBy(t *testing.T) {
	is := is.New(t)
	b := newBed(limited, whole(200, "done"), whole(200, "done"))
	b.leaveOne()
	_, _, err := b.serve(t, "/bid/1")
	is.NoErr(err)
	b.addServers()
	b.limits.verdicts = []ratelimit.Verdict{{Wait: time.Minute}}
	for range 2 {
		to, _, err := b.serve(t, "/bid/1")
		is.NoErr(err)
		is.Equal(to.body.String(), "done")
	}
	for _, c := range b.backend.calls[1:] {
		is.True(c.Expect != "ps1")
	}
}
