package caller

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"galenastair"
)

const (
	firstToken = `{"id":"r","model":"model-1","choices":[{"index":0,"delta":{"role":"assistant","content":"He"},"finish_reason":null}]}`
	lastToken  = `{"id":"r","model":"model-1","choices":[{"index":0,"delta":{"content":"llo"},"finish_reason":"stop"}]}`
	usageEvent = `{"id":"r","model":"model-1","choices":[],"usage":{"prompt_tokens":3,"completion_tokens":2}}`
)

var errTruncated = &galenastair.Refusal{Cause: galenastair.ErrResponseTruncated, Outcome: galenastair.OutcomeRan}

// The engine fails after the first token. The caller must receive an error event, and
// a caller that ignores the event must still detect the truncation: the connection is
// aborted and there is no [DONE].
func TestTruncatedStreamIsDetected(t *testing.T) {
	is := is.New(t)
	x := newTestServer(t, &fakeServer{events: []string{firstToken}, err: errTruncated})
	g := x.chat(`,"stream":true`, headerRequestID, "note-7")
	is.Equal(g.status, 200)
	is.True(g.connErr != nil)
	is.True(!strings.Contains(g.body, "[DONE]"))
	events := strings.Split(strings.TrimSpace(g.body), "\n\n")
	is.Equal(len(events), 2)
	g.body = strings.TrimPrefix(events[1], "data: ")
	e := g.decodeError(t)
	is.Equal(e.Code, galenastair.Code("AnswerCut"))
	is.Equal(e.Outcome, galenastair.OutcomeRan)
	is.Equal(e.RequestID, galenastair.RequestID("note-7"))
}

// An error before the first event must set the status code, the usage event must be
// sent only if requested, and each line of an event needs its field name.
func TestStream(t *testing.T) {
	is := is.New(t)
	g := newTestServer(t, &fakeServer{err: errTruncated}).chat(`,"stream":true`)
	is.Equal(g.status, 502)
	is.NoErr(g.connErr)
	is.Equal(g.decodeError(t).Code, galenastair.Code("AnswerCut"))

	x := newTestServer(t, &fakeServer{events: []string{"{\n}", usageEvent}, complete: true})
	g = x.chat(`,"stream":true`)
	is.NoErr(g.connErr)
	is.Equal(g.body, "data: {\ndata: }\n\ndata: [DONE]\n\n")
	g = x.chat(`,"stream":true,"stream_options":{"include_usage":true}`)
	is.True(strings.Contains(g.body, usageEvent))
}

// A truncated stream, and one with an engine's error event, must result in an error
// response if the caller did not request a stream, not in a partial or empty one.
func TestTruncatedNonStreamedResponseIsAnError(t *testing.T) {
	for name, s := range map[string]*fakeServer{
		"truncated":   {events: []string{firstToken}, err: errTruncated},
		"no [DONE]":   {events: []string{firstToken, lastToken}},
		"error event": {events: []string{`{"id":"r","error":{"message":"out of memory"}}`}, complete: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := newTestServer(t, s).chat("")
			is.Equal(g.status, 502)
			is.Equal(g.decodeError(t).Code, galenastair.Code("AnswerCut"))
			is.True(!strings.Contains(g.body, "He"))
		})
	}
}

// A non-streamed response must contain all fields that engines send, such as tool
// calls. A collector that merges only text and content returns a message with empty
// content and nothing else.
func TestNonStreamedResponseKeepsUnknownFields(t *testing.T) {
	is := is.New(t)
	x := newTestServer(t, &fakeServer{complete: true, events: []string{
		`{"id":"r","created":7,"model":"model-1","system_fingerprint":"f","choices":[{"index":0,"delta":{"role":"assistant","content":null,"tool_calls":[{"index":0,"id":"c0","type":"function","function":{"name":"bid","arguments":""}}]},"logprobs":{"content":[{"token":"a","logprob":-0.1}]},"finish_reason":null}]}`,
		`{"id":"r","created":7,"model":"model-1","choices":[{"index":0,"delta":{"tool_calls":[{"index":1,"id":"c1","type":"function","function":{"name":"lot","arguments":"{}"}}]},"logprobs":{"content":[{"token":"b","logprob":-2}]},"finish_reason":null}]}`,
		`{"id":"r","created":7,"model":"model-1","choices":[{"index":0,"delta":{"role":"assistant","refusal":"no","tool_calls":[{"index":0,"id":"","function":{"arguments":"{\"lot\":"}}]},"finish_reason":null}]}`,
		`{"id":"r","created":7,"model":"model-1","choices":[{"index":0,"delta":{"refusal":"pe","tool_calls":[{"index":0,"function":{"arguments":"3}"}}]},"finish_reason":"tool_calls"}]}`,
		usageEvent,
	}})
	g := x.chat("")
	is.Equal(g.status, 200)
	want := `{"id":"r","object":"chat.completion","created":0,"model":"model-1","system_fingerprint":"f","choices":[{"finish_reason":"tool_calls","index":0,` +
		`"logprobs":{"content":[{"logprob":-0.1,"token":"a"},{"logprob":-2,"token":"b"}]},` +
		`"message":{"content":null,"refusal":"nope","role":"assistant","tool_calls":[` +
		`{"function":{"arguments":"{\"lot\":3}","name":"bid"},"id":"c0","index":0,"type":"function"},` +
		`{"function":{"arguments":"{}","name":"lot"},"id":"c1","index":1,"type":"function"}]}}],` +
		`"usage":{"prompt_tokens":3,"completion_tokens":2}}`
	is.Equal(g.body, want)
}

// Send reads the responses of the handler, streamed and not, to chat and text
// completions, and does not take the end of the body for the end of the response.
func TestSendReadsResponses(t *testing.T) {
	text := `{"id":"r","model":"model-1","choices":[{"index":0,"text":"Hello","finish_reason":"length"}]}`
	for name, c := range map[string]struct {
		q      Request
		events []string
	}{
		"chat":          {Request{Text: "q"}, []string{firstToken, lastToken, usageEvent}},
		"streamed chat": {Request{Text: "q", Stream: true}, []string{firstToken, lastToken, usageEvent}},
		"text":          {Request{Text: "q", TextCompletion: true}, []string{text, usageEvent}},
		"streamed text": {Request{Text: "q", TextCompletion: true, Stream: true}, []string{text, usageEvent}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := &fakeServer{events: c.events, complete: true}
			x := newTestServer(t, s)
			c.q.Address, c.q.Key, c.q.Model, c.q.MaxTokens = strings.TrimPrefix(x.url, "http://"), testKey, "model-1", 2
			r, err := Send(t.Context(), http.DefaultClient, c.q)
			is.NoErr(err)
			is.True(r.Complete)
			is.Equal(r.Text, "Hello")
			is.Equal(r.Usage, Usage{3, 2})
			is.Equal(s.completions[0].OutputTokens, galenastair.Tokens(2))
			truncated := newTestServer(t, &fakeServer{events: c.events, err: errTruncated})
			c.q.Address = strings.TrimPrefix(truncated.url, "http://")
			r, err = Send(t.Context(), http.DefaultClient, c.q)
			is.NoErr(err)
			is.True(!r.Complete)
			is.Equal(r.Code, galenastair.Code("AnswerCut"))
			is.Equal(r.Outcome, galenastair.OutcomeRan)
		})
	}
}

// Merging must preserve numbers that float64 cannot represent.
func TestMergeKeepsNumbers(t *testing.T) {
	is := is.New(t)
	c := &collector{}
	is.NoErr(c.WriteChunk(galenastair.Chunk{Data: []byte(`{"choices":[{"seed":9007199254740993,"text":"a","token_ids":[1]}]}`)}))
	is.NoErr(c.WriteChunk(galenastair.Chunk{Data: []byte(`{"choices":[{"text":"b","token_ids":[2]}]}`)}))
	raw, err := json.Marshal(c.choice.toCompletion(false))
	is.NoErr(err)
	is.Equal(string(raw), `{"finish_reason":null,"index":0,"seed":9007199254740993,"text":"ab","token_ids":[1,2]}`)
}
