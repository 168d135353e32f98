package gateway

import (
	"errors"
	"testing"

	"github.com/matryer/is"

	"galenastair"
	"galenastair/catalog"
	"galenastair/stream"
)

// takeUp resumes a stream that began at v1 of a service, after an event.
func (env *testEnv) takeUp(t *testing.T, s galenastair.ServiceName, id, after string) (*recordedResponse, error) {
	t.Helper()
	env.setVersions(map[galenastair.BackendServerID]galenastair.SoftwareVersion{"s1": "v1", "s2": "v2", "s3": "v1"})
	env.streams.origins["r0"] = stream.Origin{Service: s, Version: "v1"}
	req := testRequest("/stream/1")
	req.ID, req.LastEventID, req.Resumes = galenastair.RequestID(id), after, "r0"
	to := &recordedResponse{}
	_, err := env.gateway.Serve(t.Context(), req, to)
	return to, err
}

// Guards against a resumed stream that goes on after another event than the one that its caller names, which
// may be older or newer than the last one that an instance has forwarded.
func TestResumedStreamGoesOnAfterTheEventOfItsCaller(t *testing.T) {
	for _, after := range []string{"1", "7", "12"} {
		is := is.New(t)
		env := newTestEnv(truncate("id: 20\ndata: a\n\nid: 21\ndata: b\n\nid: 22\nda"), respond(200, "id: 22\ndata: c\n\n"))
		to, err := env.takeUp(t, "writer", "r1", after)
		is.NoErr(err)
		is.Equal(env.backend.calls[0].LastEventID, after)
		is.Equal(env.backend.calls[1].LastEventID, "21")
		is.Equal(to.body.String(), "id: 20\ndata: a\n\nid: 21\ndata: b\n\nid: 22\ndata: c\n\n")
	}
}

// Guards against a second attempt to resume a stream that goes on at another software version than the first.
func TestStreamIsResumedRepeatedlyAtItsSoftwareVersion(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(truncate("id: 2\ndata: a\n\n"), failWith(galenastair.ErrInvalidResponse), truncate("id: 3\ndata: b\n\n"), failWith(galenastair.ErrInvalidResponse), respond(200, "id: 4\ndata: c\n\n"))
	for i, after := range []string{"1", "2", "3"} {
		_, err := env.takeUp(t, "writer", "r"+string(rune('1'+i)), after)
		is.Equal(err == nil, i == 2)
	}
	is.Equal(len(env.backend.calls), 5)
	for _, call := range env.backend.calls {
		is.True(call.ExpectedServer != "s2")
	}
	is.Equal(env.streams.origins["r0"].Version, galenastair.SoftwareVersion("v1"))
}

// Guards against a stream that goes on at another service than the one that began it, as its route has moved.
func TestStreamOfAMovedRouteIsNotResumed(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(respond(200, "id: 2\ndata: b\n\n"))
	_, err := env.takeUp(t, "former-writer", "r1", "1")
	is.True(errors.Is(err, galenastair.ErrStreamUnknown))
	is.Equal(len(env.backend.calls), 0)
}

// Guards against a stream that goes on at the other service of its route.
func TestStreamOfASplitRouteGoesOnAtItsService(t *testing.T) {
	is := is.New(t)
	for range 20 {
		env := newTestEnv(respond(200, "id: 2\ndata: b\n\n"))
		env.catalogSource.catalog.Match(testHost, "/stream/1").Targets = []catalog.Target{{Service: "app", Weight: 99}, {Service: "writer", Weight: 1}}
		_, err := env.takeUp(t, "writer", "r1", "1")
		is.NoErr(err)
		is.True(env.backend.calls[0].ExpectedServer == "s1" || env.backend.calls[0].ExpectedServer == "s3")
	}
}
