package httpconn

import (
	"context"
	"errors"
	"io"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"galenastair"
)

// startEndlessServer starts a server that answers each connection with a prefix and then repeats
// bytes until the client closes.
func startEndlessServer(t *testing.T, prefix, repeated string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	block := strings.Repeat(repeated, 64<<10/len(repeated))
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				_, err := io.WriteString(c, prefix)
				for err == nil {
					_, err = io.WriteString(c, block)
				}
			}()
		}
	}()
	return l.Addr().String()
}

// Guards against a server in trouble that takes an instance's memory, or holds up a request, with bytes
// without end in place of a response.
func TestBytesWithoutEndAreNoResponse(t *testing.T) {
	for name, c := range map[string]struct{ prefix, repeated string }{
		"status line":      {"", "a"},
		"header line":      {"HTTP/1.1 200 OK\r\nA: ", "a"},
		"header lines":     {"HTTP/1.1 200 OK\r\n", "A: b\r\n"},
		"interim response": {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		"other response":   {"HTTP/1.1 200 OK\r\nId: other\r\n\r\n", "a"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address := startEndlessServer(t, c.prefix, c.repeated)
			ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
			defer cancel()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			_, err := sendRequest(ctx, NewPool(), address, "1")
			runtime.ReadMemStats(&after)
			is.True(errors.Is(err, galenastair.ErrInvalidResponse))
			is.True(after.TotalAlloc-before.TotalAlloc < 8<<20)
		})
	}
}
