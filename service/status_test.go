package service_test

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"galenastair"
	"galenastair/service"
)

// Guards against an answer, or a promise that a request was not run, with a status that HTTP does not have.
func TestStatusThatHTTPDoesNotHaveIsNoAnswer(t *testing.T) {
	for _, status := range []int{0, 99, 101, 600, 999} {
		t.Run(fmt.Sprintf("%03d", status), func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				conn, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					return
				}
				_, _ = io.WriteString(conn, fmt.Sprintf("HTTP/1.1 %03d X\r\nX-Outcome: NotRun\r\nContent-Length: 4\r\n\r\nhalf", status))
				_ = conn.Close()
			}))
			defer server.Close()
			client := service.New()
			defer client.Close()
			answer, err := client.Call(t.Context(), server.Listener.Addr().String(), galenastair.ServiceRequest{ID: "r1", Method: http.MethodGet, Path: "/"})
			if err == nil {
				answer.Body.Close()
				t.Fatalf("status %d is an answer", answer.Status)
			}
			if !errors.Is(err, galenastair.ErrInvalidResponse) {
				t.Error(err)
			}
		})
	}
}
