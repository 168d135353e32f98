package service_test

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"galenastair"
	"galenastair/service"
)

// Guards against a response without a length that looks complete although its service was killed.
func TestResponseThatEndsWithItsConnectionIsCompleteIfItsServiceRuns(t *testing.T) {
	for name, c := range map[string]struct {
		head     string
		killed   bool
		complete bool
	}{
		"the service runs":         {"HTTP/1.1 200 OK\r\n\r\n", false, true},
		"the service was killed":   {"HTTP/1.1 200 OK\r\n\r\n", true, false},
		"killed, HTTP/1.0":         {"HTTP/1.0 200 OK\r\n\r\n", true, false},
		"killed, complete, length": {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n", true, true},
		"killed, short of length":  {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", true, false},
		"killed, within a chunk":   {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n8\r\n", true, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var server *httptest.Server
			server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				conn, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					return
				}
				_, _ = io.WriteString(conn, c.head+"half")
				if c.killed {
					_ = server.Listener.Close()
				}
				_ = conn.(*net.TCPConn).Close()
			}))
			defer server.Close()
			client := service.New()
			defer client.Close()
			answer, err := client.Call(t.Context(), server.Listener.Addr().String(), galenastair.ServiceRequest{ID: "r1", Method: http.MethodGet, Path: "/"})
			is.NoErr(err)
			defer answer.Body.Close()
			body, err := io.ReadAll(answer.Body)
			is.Equal(string(body), "half")
			is.Equal(err == nil, c.complete)
			if name == "the service was killed" {
				is.True(errors.Is(err, galenastair.ErrResponseTruncated))
			}
		})
	}
}
