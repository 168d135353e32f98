package gateway

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against an event that a caller gets twice, as it is too large for its id to be compared.
func TestLargeEventIsNotRepeatedWhereAStreamIsResumed(t *testing.T) {
	is := is.New(t)
	const first = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	env := newTestEnv(truncate(first), respond(200, "id: 2\ndata: "+strings.Repeat("b", 2*maxEventBytes)+"\n\n"))
	to, _, err := env.serve(t, "/stream/1")
	is.Equal(len(to.body.String()), len(first))
	is.True(err != nil)
}

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
