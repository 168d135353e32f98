package logservice_test

import (
	"bytes"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"galenastair"
	"galenastair/logservice"
	standin "galenastair/standin/platform"
)

// Guards against a response of the log that ends at any byte before its end and is taken for a complete one.
func TestResponseThatEndsAtAnyByteIsNoAnswer(t *testing.T) {
	for name, length := range map[string]int64{"length": 0, "until close": -1} {
		t.Run(name, func(t *testing.T) {
			log := standin.New().Handler()
			left, total := 1<<20, 0
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				recorded := httptest.NewRecorder()
				log.ServeHTTP(recorded, r)
				conn, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					t.Error(err)
					return
				}
				defer conn.Close()
				response := recorded.Result()
				response.ContentLength = int64(recorded.Body.Len())
				if length < 0 {
					response.ContentLength = -1
				}
				var raw bytes.Buffer
				if err := response.Write(&raw); err != nil {
					t.Error(err)
				}
				total = raw.Len()
				_, _ = conn.Write(raw.Bytes()[:min(left, total)])
			}))
			defer server.Close()
			client := logservice.New(server.Listener.Addr().String(), logservice.WithTimeout(5*time.Second))
			defer client.Close()
			appends := func() error {
				_, err := client.Append(t.Context(), stream, []byte("record"))
				return err
			}
			reads := func() error {
				batch, err := client.Read(t.Context(), stream, 1, 0)
				if err == nil && (len(batch.Records) == 0 || batch.Next <= galenastair.Offset(len(batch.Records))) {
					t.Errorf("records are missing in a response of %d bytes", left)
				}
				return err
			}
			for _, call := range []func() error{appends, reads} {
				left = 1 << 20
				if err := call(); err != nil {
					t.Fatal(err)
				}
				for n := range total {
					left = n
					err := call()
					// the JSON ends before the last line feed
					if err == nil && (n < total-1 || length == 0) {
						t.Errorf("%d of %d bytes are taken for an answer", n, total)
					}
					if errors.Is(err, galenastair.ErrAppendRefused) {
						t.Errorf("an append whose answer was truncated counts as refused: %v", err)
					}
				}
			}
		})
	}
}
