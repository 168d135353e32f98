package httpclient

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
)

// A caller gives up, is told that its bid has not run, and repeats it. Both bids run if the first
// one is written after it was reported as not sent. Fails if Write ignores writesBlocked.
func TestUnsentRequestIsNeverWritten(t *testing.T) {
	is := is.New(t)
	near, far := net.Pipe()
	defer far.Close()
	c := &conn{Conn: near}
	ctx, requestTrace := WithRequestTrace(context.Background())
	httptrace.ContextClientTrace(ctx).GotConn(httptrace.GotConnInfo{Conn: c})
	is.True(requestTrace.NotSent())
	_, err := c.Write([]byte("POST /bid"))
	is.True(errors.Is(err, net.ErrClosed))
}

// A backend server runs a bid and closes the connection without a response. net/http regards a
// GET, or a request with an Idempotency-Key header, as safe to repeat and sends it again on a
// new connection, so that the bid runs twice. Fails with http.NewRequest instead of NewRequest.
func TestRequestIsSentAtMostOnce(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		t.Run(method, func(t *testing.T) {
			is := is.New(t)
			var runs atomic.Int32
			server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/bid" {
					runs.Add(1)
					panic(http.ErrAbortHandler)
				}
			}))
			defer server.Close()
			transport := NewTransport()
			defer transport.CloseIdleConnections()
			warm, err := NewRequest(http.MethodGet, server.URL, nil)
			is.NoErr(err)
			resp, err := transport.RoundTrip(warm)
			is.NoErr(err)
			_, _ = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()

			req, err := NewRequest(method, server.URL+"/bid", nil)
			is.NoErr(err)
			req.Header.Set("Idempotency-Key", "k1")
			ctx, requestTrace := WithRequestTrace(context.Background())
			_, err = transport.RoundTrip(req.WithContext(ctx))
			is.True(err != nil)
			is.True(!requestTrace.NotSent())
			is.Equal(runs.Load(), int32(1))
		})
	}
}
