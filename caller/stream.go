package caller

import (
	"bytes"
	"net/http"
	"sync"
	"time"

	"galenastair"
)

// streamWriter sends an answer as server-sent events while it arrives.
type streamWriter struct {
	w     http.ResponseWriter
	flush http.Flusher
	usage bool

	mu      sync.Mutex
	started bool
	last    time.Time
}

func newStreamWriter(w http.ResponseWriter, usage bool) *streamWriter {
	flush, _ := w.(http.Flusher)
	return &streamWriter{w: w, flush: flush, usage: usage}
}

// usageMark is found in the event that carries the token counts, and in no
// other: engines send "usage":null elsewhere.
var usageMark = []byte(`"usage":{`)

// WriteChunk sends one event. The header goes out with the first, so that a refusal
// before it still has its own status.
func (s *streamWriter) WriteChunk(c galenastair.Chunk) error {
	if !s.usage && bytes.Contains(c.Data, usageMark) {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.start()
	data := c.Data
	if c.End {
		data = []byte("[DONE]")
	}
	return s.event(data)
}

func (s *streamWriter) start() {
	if s.started {
		return
	}
	s.started = true
	h := s.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	s.w.WriteHeader(http.StatusOK)
}

func (s *streamWriter) event(data []byte) error {
	line := make([]byte, 0, len("data: \n\n")+len(data))
	line = append(line, "data: "...)
	if bytes.IndexByte(data, '\n') >= 0 {
		// an event of several lines: each needs its field name, else it is lost
		data = bytes.ReplaceAll(data, []byte("\n"), []byte("\ndata: "))
	}
	line = append(line, data...)
	line = append(line, "\n\n"...)
	return s.write(line)
}

func (s *streamWriter) write(line []byte) error {
	s.last = time.Now()
	if _, err := s.w.Write(line); err != nil {
		return err
	}
	if s.flush != nil {
		s.flush.Flush()
	}
	return nil
}

// ping sends a comment if the stream has been quiet for the period.
func (s *streamWriter) ping(period time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.started || time.Since(s.last) < period {
		return
	}
	_ = s.write([]byte(": ping\n\n"))
}

// fail tells of an error: by status if nothing was sent, else by an error event.
// It reports whether the answer was cut, and the connection must be broken: an
// HTTP body that ended well would look whole to a client that ignores the event.
func (s *streamWriter) fail(id galenastair.RequestID, r *galenastair.Refusal) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.started {
		writeError(s.w, id, r)
		return false
	}
	_ = s.event(encodeError(id, r))
	return true
}
