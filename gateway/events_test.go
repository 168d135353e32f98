package gateway

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"galenastair"
)

// Guards against events that are lost, changed or held back, depending on the pieces in which they arrive.
func TestEventsDoNotDependOnTheirPieces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := strings.Join(rapid.SliceOf(rapid.SampledFrom([]string{"id: 1\n", "data: a\n", "\n", "\r\n", "b", "id: 2\r\n"})).Draw(t, "lines"), "")
		var whole, split eventSplitter
		want := whole.split([]byte(text))
		var got []byte
		for rest := []byte(text); len(rest) > 0; {
			n := rapid.IntRange(1, len(rest)).Draw(t, "piece")
			got = append(got, split.split(rest[:n])...)
			rest = rest[n:]
		}
		// blank lines after an event may be forwarded with it or later
		if !bytes.Equal(bytes.TrimSpace(got), bytes.TrimSpace(want)) || split.lastEventID != whole.lastEventID {
			t.Fatalf("got %q, id %q, want %q, id %q", got, split.lastEventID, want, whole.lastEventID)
		}
		if all := string(got) + string(split.partial); all != text {
			t.Fatalf("got %q in all, want %q", all, text)
		}
	})
}

// Guards against a body that lacks the blank lines which follow its last event.
func TestStreamIsForwardedToItsLastByte(t *testing.T) {
	is := is.New(t)
	const body = "id: 1\ndata: a\n\n\n\r\n"
	env := newTestEnv(func(context.Context, galenastair.BackendRequest) (*galenastair.BackendResponse, error) {
		pieces := io.MultiReader(strings.NewReader(body[:len(body)-3]), strings.NewReader(body[len(body)-3:]))
		return &galenastair.BackendResponse{Status: 200, Header: http.Header{}, Body: io.NopCloser(pieces)}, nil
	})
	to, _, err := env.serve(t, "/stream/1")
	is.NoErr(err)
	is.Equal(to.body.String(), body)
}

// Guards against a stream without a length that ends inside an event and is taken for complete.
func TestStreamThatEndsInsideAnEventGoesOnElsewhere(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(respond(200, "id: 1\ndata: a\n\nid: 2\nda"), respond(200, "id: 2\ndata: b\n\n"))
	to, _, err := env.serve(t, "/stream/1")
	is.NoErr(err)
	is.Equal(to.body.String(), "id: 1\ndata: a\n\nid: 2\ndata: b\n\n")
	is.Equal(env.backend.calls[1].LastEventID, "1")
}

// Guards against a stream that ends inside an event of which a part has been forwarded, and is taken for complete.
func TestStreamThatEndsInsideALargeEventIsBrokenOff(t *testing.T) {
	const start = "id: 1\ndata: "
	large := start + strings.Repeat("a", 2*maxEventBytes-len(start))
	for name, c := range map[string]struct {
		body     string
		complete bool
	}{
		"inside the event": {large, false},
		"after its line":   {large + "\n", false},
		"after the event":  {large + "\n\n", true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			env := newTestEnv(respond(200, c.body))
			to, wroteHeader, err := env.serve(t, "/stream/1")
			is.True(wroteHeader)
			is.Equal(err == nil, c.complete)
			if c.complete {
				is.Equal(to.body.String(), c.body)
			}
		})
	}
}

// Guards against a 200 without an event that is framed as complete, as its server ended the connection after
// the head.
func TestStreamThatEndsWithItsConnectionBeforeTheFirstEventIsTruncated(t *testing.T) {
	const event = "id: 1\ndata: a\n\n"
	empty := func(delimited bool, body string) script {
		return func(context.Context, galenastair.BackendRequest) (*galenastair.BackendResponse, error) {
			return &galenastair.BackendResponse{Status: 200, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(body)), CloseDelimited: delimited}, nil
		}
	}
	for name, c := range map[string]struct {
		path, lastEventID, sent string
		delimited, complete     bool
		body                    string
	}{
		"resumable":                  {"/stream/1", "", "", true, true, event},
		"resumable, blank lines":     {"/stream/1", "", "\n\r\n", true, true, event},
		"not resumable":              {"/once-stream/1", "", "", true, false, ""},
		"after the last event":       {"/stream/1", "6", "", true, true, ""},
		"with a length or chunks":    {"/stream/1", "", "", false, true, ""},
		"no stream":                  {"/read/1", "", "", true, true, ""},
		"not resumable, with events": {"/once-stream/1", "", event, true, true, event},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			env := newTestEnv(empty(c.delimited, c.sent), respond(200, event))
			req, to := testRequest(c.path), &recordedResponse{}
			req.LastEventID = c.lastEventID
			wroteHeader, err := env.gateway.Serve(t.Context(), req, to)
			is.Equal(err == nil, c.complete)
			is.Equal(wroteHeader, c.complete)
			is.Equal(to.body.String(), c.body)
		})
	}
}
