package httpclient

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"galenastair"
)

// The connection of a bid fails. The bid may be reported as not sent, so that its caller repeats
// it, only if no byte was written. The other pooled connections must be closed, since a device
// between client and server that lost the state of one has lost it for all. Fails if NotSent is
// not called or always returns true, or if CloseIdle is not called (the next request then uses
// the old connection).
func TestClassifyError(t *testing.T) {
	is := is.New(t)
	var opened atomic.Int32
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/die" {
			panic(http.ErrAbortHandler)
		}
	}))
	s.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			opened.Add(1)
		}
	}
	s.Start()
	defer s.Close()
	p := NewPool()
	defer p.Close()
	server := s.Listener.Addr().String()
	send := func(address, path string) error {
		req, err := NewRequest(http.MethodPost, "http://"+address+path, nil)
		is.NoErr(err)
		ctx, requestTrace := WithRequestTrace(t.Context())
		resp, err := p.Transport(server).RoundTrip(req.WithContext(ctx))
		if err != nil {
			return p.ClassifyError(ctx, server, requestTrace, err)
		}
		_, err = io.Copy(io.Discard, resp.Body)
		is.NoErr(err)
		return resp.Body.Close()
	}
	is.True(errors.Is(send("127.0.0.1:1", "/"), galenastair.ErrNotSent))
	is.NoErr(send(server, "/"))
	is.NoErr(send(server, "/"))
	is.Equal(opened.Load(), int32(1))
	sent := &RequestTrace{written: true}
	err := p.ClassifyError(t.Context(), server, sent, io.ErrUnexpectedEOF)
	is.True(errors.Is(err, galenastair.ErrBackendFailed))
	is.NoErr(send(server, "/"))
	is.Equal(opened.Load(), int32(2))
	err = send(server, "/die")
	is.True(errors.Is(err, galenastair.ErrBackendFailed))
	is.True(!errors.Is(err, galenastair.ErrNotSent))

	gone, cancel := context.WithCancel(t.Context())
	cancel()
	is.Equal(p.ClassifyError(gone, server, sent, io.EOF), context.Canceled)
}
