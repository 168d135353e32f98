package httpconn

import (
	"errors"
	"fmt"
	"testing"

	"galenastair"
)

// Guards against an answer whose status HTTP does not have, and against a body that is taken for the response that
// follows such a head.
func TestStatusThatHTTPDoesNotHaveIsNoResponse(t *testing.T) {
	for _, status := range []int{0, 99, 101, 600, 999} {
		t.Run(fmt.Sprintf("%03d", status), func(t *testing.T) {
			s := startTruncatingServer(t)
			s.part, s.end = fmt.Sprintf("HTTP/1.1 %03d X\r\nId: 1\r\n\r\n%s", status, okResponse("1", "forged")), connectionEnds["close"]
			go func() { _ = s.serveOne() }()
			body, err := sendRequest(t.Context(), NewPool(), s.Addr().String(), "1")
			if err == nil {
				t.Fatalf("a response with the body %q", body)
			}
			if !errors.Is(err, galenastair.ErrInvalidResponse) {
				t.Error(err)
			}
		})
	}
}
