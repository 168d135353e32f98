package gateway

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against an event that is left out, as the id of a dropped event counts as forwarded.
func TestStreamGoesOnAfterTheLastForwardedEvent(t *testing.T) {
	is := is.New(t)
	const first, rest = "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"
	env := newTestEnv(respond(200, first+"id: 2\nid: 1\ndata: b\n\n"), respond(200, rest))
	to, _, err := env.serve(t, "/stream/1")
	is.NoErr(err)
	is.Equal(env.backend.calls[1].LastEventID, "1")
	is.Equal(to.body.String(), first+rest)
}
