package record

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"galenastair"
	"galenastair/config"
)

// Guards against records of an instance that ends the connection at any byte of its response, as any part of
// the message may be a valid one.
func TestResponseThatEndsAtAnyByteIsNoAnswer(t *testing.T) {
	records := NewServer(map[galenastair.Stream]Source{galenastair.ConfigurationStream: fakeSource{true}})
	var left, length atomic.Int64
	address := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		recorded := httptest.NewRecorder()
		records.ServeHTTP(recorded, r)
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		defer conn.Close()
		var raw bytes.Buffer
		if err := recorded.Result().Write(&raw); err != nil {
			t.Error(err)
		}
		length.Store(int64(raw.Len()))
		_, _ = conn.Write(raw.Bytes()[:min(left.Load(), length.Load())])
	}))
	member := config.Peer{ID: "a", AvailabilityZone: "z1", Address: address}
	c := NewClient(func() []config.Peer { return []config.Peer{member} })
	left.Store(1 << 20)
	if n := len(c.ReadRecords(t.Context(), galenastair.ConfigurationStream, 7)); n != 1 {
		t.Fatalf("%d answers to a complete response", n)
	}
	recordsLength := length.Load()
	if _, err := c.FetchSnapshot(t.Context(), galenastair.ConfigurationStream, member); err != nil {
		t.Fatal(err)
	}
	for n := range max(recordsLength, length.Load()) {
		left.Store(n)
		if answers := c.ReadRecords(t.Context(), galenastair.ConfigurationStream, 7); len(answers) > 0 && n < length.Load() {
			t.Errorf("%d of %d bytes of records are taken for an answer", n, length.Load())
		}
		if _, err := c.FetchSnapshot(t.Context(), galenastair.ConfigurationStream, member); err == nil && n < length.Load() {
			t.Errorf("%d of %d bytes of a snapshot are taken for one", n, length.Load())
		}
	}
}
