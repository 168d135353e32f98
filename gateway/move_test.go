package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"galenastair"
	"galenastair/pool"
)

// steppedBody is the body of a stream that gives one event per read.
type steppedBody struct {
	next, last int
	pace       time.Duration
}

func (b *steppedBody) Read(p []byte) (int, error) {
	if b.next > b.last {
		return 0, io.EOF
	}
	time.Sleep(b.pace)
	n := copy(p, fmt.Sprintf("id: %d\ndata: x\n\n", b.next))
	b.next++
	return n, nil
}

func (b *steppedBody) Close() error { return nil }

// streamOf sends the events after the one that the request names, up to last. before is called with the
// server before the first one.
func streamOf(last int, pace time.Duration, before func(galenastair.BackendServerID)) script {
	return func(_ context.Context, c galenastair.BackendRequest) (*galenastair.BackendResponse, error) {
		before(c.ExpectedServer)
		from, _ := strconv.Atoi(c.LastEventID)
		return &galenastair.BackendResponse{Status: 200, Header: http.Header{}, Body: &steppedBody{next: from + 1, last: last, pace: pace}}, nil
	}
}

func keep(galenastair.BackendServerID) {}

// announceEnd has a server's process announce that it leaves and ends after some time.
func (env *testEnv) announceEnd(id galenastair.BackendServerID, incarnation int64, left time.Duration) {
	now := time.Now()
	env.pool.Set(now, pool.Server{ID: id, Service: "writer", Address: string(id), AvailabilityZone: "z1", Slots: 8, Incarnation: incarnation, Heartbeat: 1,
		Leaving: true, LeavingSince: now, GoneAt: now.Add(left), Models: []galenastair.LoadedModel{{Name: "m"}}})
}

// longStream is a request whose answer is expected to take ten seconds.
func longStream(path string) Request {
	req := testRequest(path)
	req.Hints.OutputTokens = 5000
	return req
}

func eventIDs(body string) (ids []int) {
	for line := range strings.Lines(body) {
		if id, ok := strings.CutPrefix(strings.TrimSpace(line), "id: "); ok {
			n, _ := strconv.Atoi(id)
			ids = append(ids, n)
		}
	}
	return ids
}

// Guards against a stream that its server cuts when it ends as announced, and against events that are
// missing or sent twice where it goes on.
func TestStreamIsMovedBeforeItsServerEnds(t *testing.T) {
	const events, left = 60, 900 * time.Millisecond
	is := is.New(t)
	env := newTestEnv()
	var goneAt, movedAt time.Time
	var leaving galenastair.BackendServerID
	env.backend.scripts = []script{
		streamOf(events, 20*time.Millisecond, func(id galenastair.BackendServerID) {
			leaving, goneAt = id, time.Now().Add(left)
			env.announceEnd(id, 0, left)
		}),
		streamOf(events, 0, func(galenastair.BackendServerID) { movedAt = time.Now() }),
	}
	to := &recordedResponse{}
	_, err := env.gateway.Serve(t.Context(), longStream("/stream/1"), to)
	is.NoErr(err)
	is.Equal(len(env.backend.calls), 2)
	is.True(env.backend.calls[1].ExpectedServer != leaving)
	is.True(movedAt.Before(goneAt))
	ids := eventIDs(to.body.String())
	is.Equal(len(ids), events)
	for i, id := range ids {
		is.Equal(id, i+1)
	}
}

// Guards against streams of one server that all move at the same moment, which would make the others
// read all their prompts at once.
func TestMovesAreSpreadOverTheTimeLeft(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	goneAt := now.Add(10*time.Second + moveMargin)
	early := 0
	for range 400 {
		r := &activeRequest{}
		is.True(!r.moveDue(now, goneAt, goneAt.Add(-time.Second))) // it ends in time
		is.True(!r.moveDue(now, goneAt, now.Add(-time.Second)))    // it may end any moment
		if r.moveDue(now.Add(5*time.Second), goneAt, goneAt.Add(time.Minute)) {
			early++
		}
		is.True(r.moveDue(now.Add(10*time.Second), goneAt, goneAt.Add(time.Minute)))
		is.True(r.moveDue(now.Add(10*time.Second), goneAt, now.Add(-time.Second))) // not ended as expected
	}
	is.True(early > 120)
	is.True(early < 280)
}

// Guards against a stream that is ended although it would end in time, may not be sent again, or no
// other server can go on with it: some of its events may still come from the server that leaves.
func TestStreamThatCannotMoveStays(t *testing.T) {
	const events = 5
	for name, c := range map[string]struct {
		path   string
		tokens galenastair.Tokens
		left   time.Duration
		before func(env *testEnv, id galenastair.BackendServerID)
	}{
		"ends in time":  {"/stream/1", 20, time.Minute, nil},
		"not resumable": {"/once-stream/1", 5000, moveMargin, nil},
		"no other server of the version": {"/stream/1", 5000, moveMargin, func(env *testEnv, id galenastair.BackendServerID) {
			for _, other := range []galenastair.BackendServerID{"s1", "s2", "s3"} {
				if other != id {
					env.pool.Remove(other)
				}
			}
			env.pool.Set(time.Now(), pool.Server{ID: "s4", Service: "writer", AvailabilityZone: "z1", Version: "v2", Slots: 8, Models: []galenastair.LoadedModel{{Name: "m"}}})
		}},
		"budget used up": {"/stream/1", 5000, moveMargin, func(env *testEnv, _ galenastair.BackendServerID) {
			for env.gateway.spendRetry("writer") {
			}
		}},
		"attempts used up": {"/stream/1", 5000, moveMargin, nil},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			env := newTestEnv()
			env.backend.scripts = []script{streamOf(events, time.Millisecond, func(id galenastair.BackendServerID) {
				env.announceEnd(id, 0, c.left)
				if c.before != nil {
					c.before(env, id)
				}
			}), streamOf(events, 0, keep)}
			req := longStream(c.path)
			req.Hints.OutputTokens = c.tokens
			if name == "attempts used up" {
				req.Attempts = 1
			}
			to := &recordedResponse{}
			_, err := env.gateway.Serve(t.Context(), req, to)
			is.NoErr(err)
			is.Equal(len(env.backend.calls), 1)
			is.Equal(len(eventIDs(to.body.String())), events)
		})
	}
}

// Guards against more retries than the budget allows where a server with many streams ends.
func TestMovedStreamsStayWithinTheRetryBudget(t *testing.T) {
	is := is.New(t)
	const streams = 200
	env := newTestEnv()
	var restarted time.Time
	for range 3 * streams {
		env.backend.scripts = append(env.backend.scripts, streamOf(3, time.Millisecond, func(id galenastair.BackendServerID) {
			env.announceEnd(id, restarted.UnixMilli(), moveMargin)
		}))
	}
	for i := range streams {
		restarted = time.Unix(int64(i+1), 0)
		env.restartServers(restarted)
		req := longStream("/stream/1")
		req.Body = []byte{byte(i)}
		to := &recordedResponse{}
		_, err := env.gateway.Serve(t.Context(), req, to)
		is.NoErr(err)
		is.Equal(len(eventIDs(to.body.String())), 3)
	}
	moved := len(env.backend.calls) - streams
	is.True(moved > 20)
	is.True(moved <= int(0.2*streams)+50)
}

// Guards against requests that are refused as the cause of crashes, because their servers ended as
// announced while they ran.
func TestAnnouncedEndIsNoCrash(t *testing.T) {
	is := is.New(t)
	env := newTestEnv()
	var restarted time.Time
	for range 4 {
		env.backend.scripts = append(env.backend.scripts, func(ctx context.Context, c galenastair.BackendRequest) (*galenastair.BackendResponse, error) {
			env.announceEnd(c.ExpectedServer, restarted.UnixMilli(), 0)
			return truncate("id: 1\ndata: a\n\n")(ctx, c)
		})
	}
	env.backend.scripts = append(env.backend.scripts, respond(200, "id: 1\ndata: a\n\n"))
	for i := range 5 {
		restarted = time.Unix(int64(i+1), 0)
		env.restartServers(restarted)
		if i == 4 {
			break
		}
		_, _, err := env.serve(t, "/once-stream/1")
		is.True(err != nil)
	}
	_, _, err := env.serve(t, "/once-stream/1")
	is.NoErr(err)
}

// Guards against a request that is sent to a server which announced its end while the connection was set
// up, and ends before the request.
func TestServerThatEndsTooSoonGetsNoRequest(t *testing.T) {
	is := is.New(t)
	var env *testEnv
	dialled := func(_ context.Context, c galenastair.BackendRequest) (*galenastair.BackendResponse, error) {
		is.True(c.ShouldSend())
		env.announceEnd(c.ExpectedServer, 0, time.Second)
		is.True(!c.ShouldSend())
		return nil, galenastair.ErrNotSent
	}
	env = newTestEnv(dialled, respond(200, "id: 1\ndata: a\n\n"))
	env.pool = pool.New("z1", pool.WithLeaveGrace(time.Minute))
	env.gateway.pool = env.pool
	env.addServers()
	_, err := env.gateway.Serve(t.Context(), longStream("/stream/1"), &recordedResponse{})
	is.NoErr(err)
}
