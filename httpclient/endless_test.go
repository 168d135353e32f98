package httpclient_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"galenastair"
	"galenastair/engine"
	"galenastair/httpclient"
	"galenastair/logservice"
	"galenastair/platform"
	"galenastair/service"
)

// startEndlessServer starts a server that answers each connection with a prefix and then repeats bytes until the
// client closes.
func startEndlessServer(t *testing.T, prefix, repeated string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	block := []byte(strings.Repeat(repeated, 64<<10/len(repeated)))
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				// a response that precedes its request closes the connection
				if _, err := c.Read(make([]byte, 1)); err != nil {
					return
				}
				_, err := io.WriteString(c, prefix)
				for err == nil {
					_, err = c.Write(block)
				}
			}()
		}
	}()
	return l.Addr().String()
}

// Guards against a server in trouble that takes an instance's memory with heads without end, one for each request.
func TestHeadsWithoutEndTakeLittleMemory(t *testing.T) {
	const requests = 16
	clients := map[string]func(context.Context, string) error{
		"plain service": func(ctx context.Context, address string) error {
			_, err := service.New().Call(ctx, address, galenastair.ServiceRequest{ID: "r1", Method: http.MethodGet, Path: "/"})
			return err
		},
		"engine": func(ctx context.Context, address string) error {
			_, err := engine.New().Report(ctx, address)
			return err
		},
		"log": func(ctx context.Context, address string) error {
			_, err := logservice.New(address).List(ctx)
			return err
		},
		"store": func(ctx context.Context, address string) error {
			_, err := platform.NewStore(address).Newest(ctx, "keyed.op")
			return err
		},
		"peer": func(ctx context.Context, address string) error {
			return get(ctx, httpclient.NewPeerClient(httpclient.NewTransport()), address)
		},
	}
	for name, call := range clients {
		for what, repeated := range map[string]string{"header line": "a", "header lines": "A: b\r\n"} {
			t.Run(name+", "+what, func(t *testing.T) {
				address := startEndlessServer(t, "HTTP/1.1 200 OK\r\nA: ", repeated)
				ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
				defer cancel()
				var before, after runtime.MemStats
				runtime.ReadMemStats(&before)
				var calls sync.WaitGroup
				for range requests {
					calls.Go(func() {
						if call(ctx, address) == nil {
							t.Error("a head without end is a response")
						}
					})
				}
				calls.Wait()
				runtime.ReadMemStats(&after)
				if n := after.TotalAlloc - before.TotalAlloc; n > requests<<20 {
					t.Errorf("%d MB for %d requests", n>>20, requests)
				}
			})
		}
	}
}

func get(ctx context.Context, c *http.Client, address string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address, nil)
	if err != nil {
		return err
	}
	resp, err := c.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

// Guards against an instance that reads the body of another one's response without end.
func TestPeerBodiesWithoutEndAreNotRead(t *testing.T) {
	address := startEndlessServer(t, "HTTP/1.1 200 OK\r\n\r\n", "a")
	err := get(t.Context(), httpclient.NewPeerClient(httpclient.NewTransport()), address)
	var tooLarge *http.MaxBytesError
	if !errors.As(err, &tooLarge) {
		t.Error(err)
	}
}
