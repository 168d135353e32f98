package gateway

import (
	"context"
	"errors"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"galenastair"
	"galenastair/pool"
	"galenastair/stream"
)

// setVersions replaces the servers of the service by one of each version.
func (env *testEnv) setVersions(versions map[galenastair.BackendServerID]galenastair.SoftwareVersion) {
	for _, id := range []galenastair.BackendServerID{"s1", "s2", "s3"} {
		env.pool.Remove(id)
	}
	for id, v := range versions {
		env.pool.Set(time.Now(), pool.Server{ID: id, Service: "writer", Address: string(id), AvailabilityZone: "z1", Version: v, Slots: 8,
			Models: []galenastair.LoadedModel{{Name: "m"}}})
	}
}

// breakAfter truncates a stream after one event, and adds servers before.
func (env *testEnv) breakAfter(servers map[galenastair.BackendServerID]galenastair.SoftwareVersion) script {
	return func(ctx context.Context, c galenastair.BackendRequest) (*galenastair.BackendResponse, error) {
		env.setVersions(servers)
		return truncate("id: 1\ndata: a\n\n")(ctx, c)
	}
}

// Guards against a stream that goes on at another software version than the one that began it.
func TestBrokenStreamGoesOnAtItsSoftwareVersion(t *testing.T) {
	is := is.New(t)
	for range 20 {
		env := newTestEnv()
		env.setVersions(map[galenastair.BackendServerID]galenastair.SoftwareVersion{"s1": "v1"})
		env.backend.scripts = []script{
			env.breakAfter(map[galenastair.BackendServerID]galenastair.SoftwareVersion{"s1": "v1", "s2": "v2", "s3": "v2", "s4": "v1", "s5": "v2"}),
			respond(200, "id: 2\ndata: b\n\n"),
		}
		_, _, err := env.serve(t, "/stream/1")
		is.NoErr(err)
		is.Equal(env.backend.calls[1].ExpectedServer, galenastair.BackendServerID("s4"))
	}
}

// Guards against a stream that is completed by another software version, as no server of its own is left.
func TestBrokenStreamEndsWithoutAServerOfItsVersion(t *testing.T) {
	is := is.New(t)
	env := newTestEnv()
	env.setVersions(map[galenastair.BackendServerID]galenastair.SoftwareVersion{"s1": "v1"})
	env.backend.scripts = []script{
		env.breakAfter(map[galenastair.BackendServerID]galenastair.SoftwareVersion{"s2": "v2", "s3": "v2"}),
		respond(200, "id: 2\ndata: b\n\n"),
	}
	_, wroteHeader, err := env.serve(t, "/stream/1")
	is.True(err != nil)
	is.True(wroteHeader)
	is.Equal(len(env.backend.calls), 1)
}

// Guards against a stream that another instance goes on with at any software version.
func TestForwardedStreamNamesItsSoftwareVersion(t *testing.T) {
	is := is.New(t)
	env := newTestEnv()
	env.setVersions(map[galenastair.BackendServerID]galenastair.SoftwareVersion{"s1": "v1"})
	env.peers.addresses = []string{"peer-1"}
	env.backend.scripts = []script{func(ctx context.Context, c galenastair.BackendRequest) (*galenastair.BackendResponse, error) {
		env.peers.partitioned = true
		return truncate("id: 1\ndata: a\n\n")(ctx, c)
	}}
	env.peerBackend.scripts = []script{respond(200, "id: 2\ndata: b\n\n")}
	_, _, err := env.serve(t, "/stream/1")
	is.NoErr(err)
	is.Equal(*env.peerBackend.calls[0].Forwarding.Version, galenastair.SoftwareVersion("v1"))
}

// Guards against a caller that resumes a stream at another software version.
func TestResumedStreamGoesToItsSoftwareVersion(t *testing.T) {
	is := is.New(t)
	for range 20 {
		env := newTestEnv(respond(200, "id: 2\ndata: b\n\n"))
		env.setVersions(map[galenastair.BackendServerID]galenastair.SoftwareVersion{"s1": "v1", "s2": "v2", "s3": "v1"})
		env.streams.origins["r0"] = stream.Origin{Service: "writer", Version: "v2"}
		req := testRequest("/stream/1")
		req.LastEventID, req.Resumes = "1", "r0"
		_, err := env.gateway.Serve(t.Context(), req, &recordedResponse{})
		is.NoErr(err)
		is.Equal(env.backend.calls[0].ExpectedServer, galenastair.BackendServerID("s2"))
	}
}

// Guards against a stream of an unknown version that is sent to a server, or charged.
func TestResumedStreamOfUnknownVersionIsNotSent(t *testing.T) {
	is := is.New(t)
	env := newTestEnv()
	req := testRequest("/stream/1")
	req.LastEventID, req.Resumes = "1", "r0"
	_, err := env.gateway.Serve(t.Context(), req, &recordedResponse{})
	is.True(errors.Is(err, galenastair.ErrStreamUnknown))
	is.Equal(len(env.backend.calls), 0)
	is.Equal(env.quota.taken, 0)
}

// Guards against a stream that cannot be resumed elsewhere, as its first event was not recorded.
func TestFirstEventRecordsTheSoftwareVersion(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(truncate(""), respond(200, "id: 1\ndata: a\n\n"))
	env.setVersions(map[galenastair.BackendServerID]galenastair.SoftwareVersion{"s1": "v1", "s2": "v2"})
	_, _, err := env.serve(t, "/stream/1")
	is.NoErr(err)
	last := env.backend.calls[1].ExpectedServer
	is.Equal(env.streams.origins["r1"].Version, map[galenastair.BackendServerID]galenastair.SoftwareVersion{"s1": "v1", "s2": "v2"}[last])
}

// Guards against a stream that holds an event twice, as the server that goes on can't know what was forwarded.
func TestStreamIsNotContinuedWithoutItsPosition(t *testing.T) {
	for name, first := range map[string]string{
		"no id":          "data: a\n\n",
		"part forwarded": "id: 1\ndata: a\n\nid: 2\ndata: " + strings.Repeat("b", maxEventBytes),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			env := newTestEnv(truncate(first), respond(200, "id: 2\ndata: b\n\n"))
			_, wroteHeader, err := env.serve(t, "/stream/1")
			is.True(err != nil)
			is.True(wroteHeader)
			is.Equal(len(env.backend.calls), 1)
		})
	}
}

// Guards against servers in trouble that take an instance's memory with events without end.
func TestEventsWithoutEndTakeLittleMemory(t *testing.T) {
	const streams, memory = 64, 32 << 20
	is := is.New(t)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	splitters := make([]eventSplitter, streams)
	piece := []byte(strings.Repeat("a", readBufferBytes))
	for i := range splitters {
		for range (2 << 20) / readBufferBytes {
			splitters[i].split(piece)
		}
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	is.True(int64(after.HeapAlloc)-int64(before.HeapAlloc) < memory)
	runtime.KeepAlive(splitters)
}

// Guards against a stream that begins at a software version at which no instance could resume it.
func TestStreamAwaitsANewSoftwareVersion(t *testing.T) {
	for name, c := range map[string]struct {
		servers map[galenastair.BackendServerID]galenastair.SoftwareVersion
		path    string
		listed  bool
		server  galenastair.BackendServerID
	}{
		"another version serves":       {map[galenastair.BackendServerID]galenastair.SoftwareVersion{"s1": "v1", "s2": "v2"}, "/stream/1", false, "s1"},
		"only the new one, soon known": {map[galenastair.BackendServerID]galenastair.SoftwareVersion{"s2": "v2"}, "/stream/1", true, "s2"},
		"only the new one":             {map[galenastair.BackendServerID]galenastair.SoftwareVersion{"s2": "v2"}, "/stream/1", false, ""},
		"no stream that is resumed":    {map[galenastair.BackendServerID]galenastair.SoftwareVersion{"s2": "v2"}, "/once-stream/1", false, "s2"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			env := newTestEnv(respond(200, "id: 1\ndata: a\n\n"))
			env.setVersions(c.servers)
			env.streams.newVersion, env.streams.changed = "v2", make(chan struct{})
			if c.listed {
				time.AfterFunc(50*time.Millisecond, func() { close(env.streams.changed) })
			}
			req := testRequest(c.path)
			req.Timeout = time.Second
			_, err := env.gateway.Serve(t.Context(), req, &recordedResponse{})
			is.Equal(err == nil, c.server != "")
			if c.server == "" {
				is.True(errors.Is(err, galenastair.ErrNoBackendServer))
				is.Equal(len(env.backend.calls), 0)
				return
			}
			is.Equal(env.backend.calls[0].ExpectedServer, c.server)
		})
	}
}

// Guards against events that a caller gets twice, as a server that resumes its stream begins too early.
func TestEventsAreNotRepeatedWhereAStreamIsResumed(t *testing.T) {
	const first, again, rest = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "id: 2\ndata: b\n\nid: 3\ndata: c\n\n", "id: 3\ndata: c\n\n"
	for name, c := range map[string]struct {
		resumesAfter string
		scripts      []script
		want         string
		complete     bool
	}{
		"within one response":           {"", []script{truncate(first), respond(200, again)}, first, false},
		"by the caller":                 {"2", []script{respond(200, again), respond(200, rest)}, rest, true},
		"by the caller, from the start": {"2", []script{respond(200, first+rest), respond(200, rest)}, rest, true},
		"an id that goes back":          {"", []script{respond(200, first+first), respond(200, rest)}, first + rest, true},
		"ids that are no numbers":       {"", []script{truncate("id: x9\ndata: a\n\n"), respond(200, "id: x10\ndata: b\n\n")}, "id: x9\ndata: a\n\nid: x10\ndata: b\n\n", true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			env := newTestEnv(c.scripts...)
			req := testRequest("/stream/1")
			req.LastEventID = c.resumesAfter
			to := &recordedResponse{}
			_, err := env.gateway.Serve(t.Context(), req, to)
			is.Equal(to.body.String(), c.want)
			is.Equal(err == nil, c.complete)
			for _, call := range env.backend.calls[1:] {
				is.True(call.LastEventID != "3")
			}
		})
	}
}
