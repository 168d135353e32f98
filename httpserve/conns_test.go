package httpserve

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"galenastair"
)

// startServer serves h on a loopback address with tracked connections.
func startServer(t *testing.T, h http.Handler) (*ConnTracker, net.Listener) {
	t.Helper()
	conns := NewConnTracker()
	s := &http.Server{Handler: h}
	conns.Track(s)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- s.Serve(l) }()
	t.Cleanup(func() {
		_ = s.Close()
		if err := <-ended; !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			t.Error(err)
		}
	})
	return conns, l
}

// A request arrives on a kept-alive connection in the moment in which a shutdown closes it.
// http.Server.Shutdown regards the connection as idle while the request is being read, so
// the request reaches a backend server and its caller gets no response. A request must
// either get a complete response or never reach its handler.
func TestStopClosesBetweenRequestsOnly(t *testing.T) {
	is := is.New(t)
	for range 20 {
		ran := make(chan struct{}, 1)
		conns, l := startServer(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			ran <- struct{}{}
			time.Sleep(time.Millisecond)
			_, _ = io.WriteString(w, "whole")
		}))
		c, err := net.Dial("tcp", l.Addr().String())
		is.NoErr(err)
		ask := "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
		_, err = io.WriteString(c, ask)
		is.NoErr(err)
		buf := make([]byte, 1024)
		_, err = c.Read(buf)
		is.NoErr(err)
		<-ran
		go func() { _, _ = io.WriteString(c, ask) }()
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		conns.Drain(ctx)
		cancel()
		_ = c.SetReadDeadline(time.Now().Add(150 * time.Millisecond))
		answer, _ := io.ReadAll(c)
		select {
		case <-ran:
			is.True(strings.HasSuffix(string(answer), "whole"))
		default:
			is.Equal(len(answer), 0)
		}
		_ = c.Close()
	}
}

// waitAccepted waits until the server has accepted a connection. A connection that has not been
// accepted when the listener is closed is reset, which tells its client that nothing was read.
func waitAccepted(t *testing.T, s *ConnTracker) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		s.mu.Lock()
		n := len(s.conns)
		s.mu.Unlock()
		if n > 0 {
			return
		}
	}
	t.Fatal("no connection accepted within 5 s")
}

// A client opens a connection just before the shutdown, and its first request has not arrived
// yet. The connection must still be open when it arrives.
func TestStopWaitsForFirstRequest(t *testing.T) {
	is := is.New(t)
	conns, l := startServer(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "whole")
	}))
	c, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	defer c.Close()
	waitAccepted(t, conns)
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	drained := make(chan int, 1)
	go func() { drained <- conns.Drain(ctx) }()
	time.Sleep(newConnGracePeriod / 4)
	_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	is.NoErr(err)
	answer, err := io.ReadAll(c)
	is.NoErr(err)
	is.True(strings.HasSuffix(string(answer), "whole"))
	is.Equal(<-drained, 0)
}

// A request waits at a backend server for longer than the shutdown may take. Its caller must get
// a response, not a closed connection after seconds of waiting. Fails if Drain only waits.
func TestStopAnswersCancelledRequests(t *testing.T) {
	is := is.New(t)
	began := make(chan struct{})
	conns, l := startServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		close(began)
		<-r.Context().Done()
		if errors.Is(context.Cause(r.Context()), galenastair.ErrStopping) {
			w.WriteHeader(http.StatusBadGateway)
		}
	}))
	c, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
	is.NoErr(err)
	<-began
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	is.Equal(conns.Drain(ctx), 0)
	answer, err := io.ReadAll(c)
	is.NoErr(err)
	is.True(strings.HasPrefix(string(answer), "HTTP/1.1 502"))
}
