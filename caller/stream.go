package caller

import (
	"bytes"
	"net/http"
	"sync"
	"time"

	"galenastair"
)

// streamWriter sends a response as server-sent events.
type streamWriter struct {
	w            http.ResponseWriter
	flusher      http.Flusher
	includeUsage bool

	mu         sync.Mutex
	headerSent bool
	lastWrite  time.Time
}

func newStreamWriter(w http.ResponseWriter, includeUsage bool) *streamWriter {
	flusher, _ := w.(http.Flusher)
	return &streamWriter{w: w, flusher: flusher, includeUsage: includeUsage}
}

// usageField occurs only in the event with the token counts: engines send
// "usage":null in the others.
var usageField = []byte(`"usage":{`)

// WriteChunk sends one event. The response header is sent with the first event, so
// that an error before it can still set the status code.
func (s *streamWriter) WriteChunk(c galenastair.Chunk) error {
	if !s.includeUsage && bytes.Contains(c.Data, usageField) {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sendHeader()
	data := c.Data
	if c.End {
		data = []byte("[DONE]")
	}
	return s.writeEvent(data)
}

func (s *streamWriter) sendHeader() {
	if s.headerSent {
		return
	}
	s.headerSent = true
	h := s.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	s.w.WriteHeader(http.StatusOK)
}

func (s *streamWriter) writeEvent(data []byte) error {
	event := make([]byte, 0, len("data: \n\n")+len(data))
	event = append(event, "data: "...)
	if bytes.IndexByte(data, '\n') >= 0 {
		// Clients ignore lines without a field name, so each line needs one.
		data = bytes.ReplaceAll(data, []byte("\n"), []byte("\ndata: "))
	}
	event = append(event, data...)
	event = append(event, "\n\n"...)
	return s.write(event)
}

func (s *streamWriter) write(event []byte) error {
	s.lastWrite = time.Now()
	if _, err := s.w.Write(event); err != nil {
		return err
	}
	if s.flusher != nil {
		s.flusher.Flush()
	}
	return nil
}

// ping sends a comment if the stream has been idle for the period.
func (s *streamWriter) ping(period time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.headerSent || time.Since(s.lastWrite) < period {
		return
	}
	_ = s.write([]byte(": ping\n\n"))
}

// writeFailure sends an error: as an error response if nothing was sent yet, else as
// an error event. In the second case it returns true and the connection must be
// aborted: a caller that ignores the event would take a body that ends normally for
// a complete response.
func (s *streamWriter) writeFailure(id galenastair.RequestID, r *galenastair.Refusal) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.headerSent {
		writeError(s.w, id, r)
		return false
	}
	_ = s.writeEvent(encodeError(id, r))
	return true
}
