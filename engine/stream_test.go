package engine

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"galenastair"
)

const completeResponse = "id: 1\ndata: {\"id\":\"r1\",\"x\":1}\n\n" +
	": ping\n\n" +
	"id: 2\ndata: {\"x\":2,\"id\":\"r1\"}\r\n\r\n" +
	"id: 3\ndata: [DONE]\n\n"

// newTestStream returns a stream for request r1 whose response body is text.
func newTestStream(text string) *stream {
	body := io.NopCloser(strings.NewReader(text))
	s := &stream{
		body:        body,
		cancel:      func() {},
		idleTimeout: time.Minute,
		validator:   eventValidator{id: "r1", nextSequence: 1},
	}
	s.timer = time.AfterFunc(time.Minute, s.onIdleTimeout)
	s.events = newEventReader(body, s.resetTimer)
	return s
}

// readAll returns the chunks before the [DONE] event and the final error, which is io.EOF
// for a complete stream.
func readAll(s *stream) ([]galenastair.Chunk, error) {
	defer s.Close()
	var chunks []galenastair.Chunk
	for {
		c, err := s.Next()
		if err != nil {
			return chunks, err
		}
		if !c.End {
			chunks = append(chunks, c)
		}
	}
}

// Guards against a caller receiving truncated text, or text of another request, without
// an error, when the engine or the network truncates, duplicates, drops or mixes up events.
// Fails if one of these checks is missing: the ID in hasRequestID, the sequence in
// validate, and the [DONE] event before the end of the body.
func TestStreamRejectsForeignAndMissingEvents(t *testing.T) {
	event := func(n int, data string) string { return fmt.Sprintf("id: %d\ndata: %s\n\n", n, data) }
	ownData := `{"id":"r1"}`
	tests := []struct {
		name string
		text string
		want error
	}{
		{"complete", completeResponse, io.EOF},
		{"truncated before the [DONE] event", event(1, ownData), galenastair.ErrResponseTruncated},
		{"truncated within the [DONE] event", event(1, ownData) + "id: 2\ndata: [DONE]\n", galenastair.ErrResponseTruncated},
		{"duplicate event", event(1, ownData) + event(1, ownData), galenastair.ErrInvalidResponse},
		{"dropped event", event(1, ownData) + event(3, ownData), galenastair.ErrInvalidResponse},
		{"dropped before the [DONE] event", event(1, ownData) + event(3, "[DONE]"), galenastair.ErrInvalidResponse},
		{"event of another request", event(1, `{"id":"r2"}`), galenastair.ErrInvalidResponse},
		{"event of a request whose ID has this one's as prefix", event(1, `{"id":"r11"}`), galenastair.ErrInvalidResponse},
		{"no id in the object", event(1, `{}`), galenastair.ErrInvalidResponse},
		{"no sequence", "data: " + ownData + "\n\n", galenastair.ErrInvalidResponse},
		{"too large", "id: 1\ndata: " + strings.Repeat("x", maxEventBytes+1) + "\n\n", galenastair.ErrResponseTruncated},
		{"too many data lines", "id: 1\n" + strings.Repeat("data: "+strings.Repeat("x", 1000)+"\n", 1100), galenastair.ErrResponseTruncated},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			_, err := readAll(newTestStream(tt.text))
			is.True(errors.Is(err, tt.want)) // final error
		})
	}
}

// Guards against a caller that goes on reading after an error and receives the events of
// another request. Fails if the stream does not keep its first error.
func TestStreamErrorIsPermanent(t *testing.T) {
	is := is.New(t)
	s := newTestStream("id: 1\ndata: {\"id\":\"r2\"}\n\nid: 2\ndata: {\"id\":\"r1\"}\n\nid: 3\ndata: [DONE]\n\n")
	for range 4 {
		_, err := s.Next()
		is.True(errors.Is(err, galenastair.ErrInvalidResponse))
	}
}

func TestTruncatedStreamReturnsErrAnswerCut(t *testing.T) {
	is := is.New(t)
	for n := range len(completeResponse) {
		_, err := readAll(newTestStream(completeResponse[:n]))
		is.True(errors.Is(err, galenastair.ErrResponseTruncated))
	}
}

// FuzzStream parses arbitrary response bodies. The chunks must carry the request's ID and
// sequences without gaps, and the stream may end with io.EOF only after a [DONE] event.
func FuzzStream(f *testing.F) {
	f.Add(completeResponse)
	f.Add("id: 1\ndata: {\"id\":\"r1\"}\ndata:\n\n")
	f.Add("id: 1\ndata\n\nid: 9223372036854775808\n\n:\n")
	f.Fuzz(func(t *testing.T, text string) {
		chunks, err := readAll(newTestStream(text))
		for i, c := range chunks {
			if c.Sequence != int64(i+1) {
				t.Fatalf("chunk %d has sequence %d", i, c.Sequence)
			}
			if !strings.Contains(string(c.Data), "r1") && !strings.Contains(string(c.Data), `\u`) {
				t.Fatalf("chunk %d belongs to another request: %q", i, c.Data)
			}
		}
		if errors.Is(err, io.EOF) && !strings.Contains(text, "[DONE]") {
			t.Fatalf("io.EOF without a [DONE] event: %q", text)
		}
	})
}

func BenchmarkStreamNext(b *testing.B) {
	var text strings.Builder
	for i := range 1000 {
		fmt.Fprintf(&text, "id: %d\ndata: {\"id\":\"r1\",\"object\":\"chat.completion.chunk\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\" word\"},\"finish_reason\":null}]}\n\n", i+1)
	}
	b.ReportAllocs()
	for b.Loop() {
		if chunks, _ := readAll(newTestStream(text.String())); len(chunks) != 1000 {
			b.Fatal(len(chunks))
		}
	}
}
