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

// A bid dies on its way. Its caller is told that it has not run, and sends it
// again, only if no byte of it went out. What is pooled beside a connection that
// died is as dead: something between the two ends has lost track of them all.
// Seen failing with NotSent not asked, with it always true, and with Forget left
// out (the next request goes out on the old connection).
func TestFailedNamesTheCause(t *testing.T) {
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
		ctx, sending := Track(t.Context())
		resp, err := p.For(server).RoundTrip(req.WithContext(ctx))
		if err != nil {
			return p.Failed(ctx, server, sending, err)
		}
		_, err = io.Copy(io.Discard, resp.Body)
		is.NoErr(err)
		return resp.Body.Close()
	}
	is.True(errors.Is(send("127.0.0.1:1", "/"), galenastair.ErrNotSent))
	is.NoErr(send(server, "/"))
	is.NoErr(send(server, "/"))
	is.Equal(opened.Load(), int32(1))
	sent := &Sending{sent: true}
	err := p.Failed(t.Context(), server, sent, io.ErrUnexpectedEOF)
	is.True(errors.Is(err, galenastair.ErrBackendServer))
	is.NoErr(send(server, "/"))
	is.Equal(opened.Load(), int32(2))
	err = send(server, "/die")
	is.True(errors.Is(err, galenastair.ErrBackendServer))
	is.True(!errors.Is(err, galenastair.ErrNotSent))

	gone, cancel := context.WithCancel(t.Context())
	cancel()
	is.Equal(p.Failed(gone, server, sent, io.EOF), context.Canceled)
}
