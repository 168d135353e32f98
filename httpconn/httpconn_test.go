package httpconn

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"galenastair"
)

// rawServer is an HTTP server that answers each request, on any connection, with the next
// scripted response, byte for byte.
type rawServer struct {
	net.Listener
	requestCount atomic.Int32
	connCount    atomic.Int32
	closed       chan struct{}
}

// scriptedResponse is the server's response to one request.
type scriptedResponse struct {
	raw string
	// close and reset end the connection after the response.
	close, reset bool
}

func startRawServer(t *testing.T, steps ...scriptedResponse) *rawServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &rawServer{Listener: l, closed: make(chan struct{}, 8)}
	next := make(chan scriptedResponse, len(steps))
	for _, step := range steps {
		next <- step
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.connCount.Add(1)
			go s.serve(c, next)
		}
	}()
	t.Cleanup(func() { _ = l.Close() })
	return s
}

func (s *rawServer) serve(c net.Conn, next chan scriptedResponse) {
	defer func() {
		_ = c.Close()
		s.closed <- struct{}{}
	}()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		s.requestCount.Add(1)
		select {
		case step := <-next:
			_, _ = io.WriteString(c, step.raw)
			if step.reset {
				_ = c.(*net.TCPConn).SetLinger(0)
			}
			if step.close || step.reset {
				return
			}
		default:
			// no response is left: the server hangs
		}
	}
}

func okResponse(id, body string) string {
	return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + itoa(len(body)) + "\r\n\r\n" + body
}

func itoa(n int) string {
	digits := ""
	for ; n > 0 || digits == ""; n /= 10 {
		digits = string(rune('0'+n%10)) + digits
	}
	return digits
}

// sendRequest sends a request and returns the body of the response with the given id.
func sendRequest(ctx context.Context, pool *Pool, address, id string) (string, error) {
	conn, err := pool.Get(ctx, address)
	if err != nil {
		return "", err
	}
	resp, err := conn.Do(ctx, Request{Method: http.MethodPost, Target: "/x", Host: "a", Header: http.Header{}, Body: []byte("body")},
		func(h http.Header) bool { return h.Get("Id") == id })
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return string(data), err
}

// Guards against sending a request twice when the backend server closes a reused connection
// after receiving it. The request may have run; http.Transport would retry some of these.
func TestNoRetryWhenConnectionCloses(t *testing.T) {
	for name, s := range map[string]scriptedResponse{"closed": {close: true}, "reset": {reset: true}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := startRawServer(t, scriptedResponse{raw: okResponse("1", "first")}, s, scriptedResponse{raw: okResponse("2", "again")})
			pool := NewPool()
			_, err := sendRequest(t.Context(), pool, server.Addr().String(), "1")
			is.NoErr(err)
			_, err = sendRequest(t.Context(), pool, server.Addr().String(), "2")
			is.True(errors.Is(err, galenastair.ErrResponseTruncated))
			is.Equal(server.requestCount.Load(), int32(2))
		})
	}
}

// A request must not be sent on an idle connection that the backend server has closed, but
// on a new one.
func TestClosedIdleConnectionIsNotReused(t *testing.T) {
	is := is.New(t)
	server := startRawServer(t, scriptedResponse{raw: okResponse("1", "first"), close: true}, scriptedResponse{raw: okResponse("2", "second")})
	pool := NewPool()
	_, err := sendRequest(t.Context(), pool, server.Addr().String(), "1")
	is.NoErr(err)
	<-server.closed
	body, err := sendRequest(t.Context(), pool, server.Addr().String(), "2")
	is.NoErr(err)
	is.Equal(body, "second")
	is.Equal(server.connCount.Load(), int32(2))
}

// Guards against delivering a duplicate response, which a backend server sends right after
// the first one, to the caller of that request or of the next one.
func TestDuplicateResponseIsDropped(t *testing.T) {
	is := is.New(t)
	server := startRawServer(t, scriptedResponse{raw: okResponse("1", "first") + okResponse("1", "first")}, scriptedResponse{raw: okResponse("2", "second")})
	pool := NewPool()
	body, err := sendRequest(t.Context(), pool, server.Addr().String(), "1")
	is.NoErr(err)
	is.Equal(body, "first")
	body, err = sendRequest(t.Context(), pool, server.Addr().String(), "2")
	is.NoErr(err)
	is.Equal(body, "second")
}

// The duplicate response arrives late, where the response to the next request is expected.
// It must be recognised by its id and skipped.
func TestLateResponseIsSkipped(t *testing.T) {
	is := is.New(t)
	server := startRawServer(t, scriptedResponse{raw: okResponse("1", "first")}, scriptedResponse{raw: okResponse("1", "late") + okResponse("2", "second")})
	pool := NewPool()
	_, err := sendRequest(t.Context(), pool, server.Addr().String(), "1")
	is.NoErr(err)
	body, err := sendRequest(t.Context(), pool, server.Addr().String(), "2")
	is.NoErr(err)
	is.Equal(body, "second")
	is.Equal(server.connCount.Load(), int32(1))
}

// A response that ends before its Content-Length, within a chunked body, or by a reset
// without a Content-Length, is truncated. One without a Content-Length that ends with the
// connection is complete.
func TestTruncatedResponse(t *testing.T) {
	chunked := "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, c := range map[string]struct {
		step      scriptedResponse
		body      string
		truncated bool
	}{
		"short of Content-Length": {scriptedResponse{raw: "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\nhalf", close: true}, "half", true},
		"within a chunk":          {scriptedResponse{raw: chunked + "8\r\nhalf", close: true}, "half", true},
		"without the last chunk":  {scriptedResponse{raw: chunked + "4\r\nhalf\r\n", close: true}, "half", true},
		"reset without length":    {scriptedResponse{raw: "HTTP/1.1 200 OK\r\nId: 1\r\nConnection: close\r\n\r\nhalf", reset: true}, "half", true},
		"complete chunked":        {scriptedResponse{raw: chunked + "5\r\nwhole\r\n0\r\n\r\n"}, "whole", false},
		"complete until close":    {scriptedResponse{raw: "HTTP/1.1 200 OK\r\nId: 1\r\nConnection: close\r\n\r\nwhole", close: true}, "whole", false},
		"no length, no header":    {scriptedResponse{raw: "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nwhole", close: true}, "whole", false},
		"reset, no header":        {scriptedResponse{raw: "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nhalf", reset: true}, "half", true},
		"malformed response":      {scriptedResponse{raw: "\x00\x01garbage\r\n\r\n", close: true}, "", true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := startRawServer(t, c.step)
			body, err := sendRequest(t.Context(), NewPool(), server.Addr().String(), "1")
			is.Equal(errors.Is(err, galenastair.ErrResponseTruncated), c.truncated)
			if !c.truncated {
				is.NoErr(err)
				is.Equal(body, c.body)
			}
		})
	}
}

// If nothing listens at the address, the error says that the request was not sent.
func TestConnectionRefusedIsNotSent(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := l.Addr().String()
	is.NoErr(l.Close())
	_, err = sendRequest(t.Context(), NewPool(), address, "1")
	is.True(errors.Is(err, galenastair.ErrNotSent))
	is.True(errors.Is(err, galenastair.ErrConnectionRefused))
}

// When a caller disconnects, the connection to the backend server must be closed at once,
// as this stops the backend server from working on the request.
func TestCancelClosesConnection(t *testing.T) {
	is := is.New(t)
	server := startRawServer(t)
	ctx, cancel := context.WithCancelCause(t.Context())
	errCallerLeft := errors.New("the caller left")
	time.AfterFunc(30*time.Millisecond, func() { cancel(errCallerLeft) })
	begun := time.Now()
	_, err := sendRequest(ctx, NewPool(), server.Addr().String(), "1")
	is.True(errors.Is(err, errCallerLeft))
	select {
	case <-server.closed:
	case <-time.After(2 * time.Second):
		t.Fatal("the connection stayed open")
	}
	is.True(time.Since(begun) < 500*time.Millisecond)
}

// An idle connection must be closed before the keep-alive timeout that the peer announces.
func TestKeepAliveTimeoutOfPeer(t *testing.T) {
	is := is.New(t)
	is.Equal(keepAliveTimeout(http.Header{"Keep-Alive": {"max=3, timeout=5"}}), 5*time.Second)
	is.Equal(keepAliveTimeout(http.Header{"Keep-Alive": {"nonsense"}}), time.Duration(0))
	server := startRawServer(t, scriptedResponse{raw: strings.Replace(okResponse("1", "x"), "\r\n\r\n", "\r\nKeep-Alive: timeout=1\r\n\r\n", 1)}, scriptedResponse{raw: okResponse("2", "y")})
	pool := NewPool()
	_, err := sendRequest(t.Context(), pool, server.Addr().String(), "1")
	is.NoErr(err)
	_, err = sendRequest(t.Context(), pool, server.Addr().String(), "2")
	is.NoErr(err)
	is.Equal(server.connCount.Load(), int32(2))
}

// Idle connections to a backend server that is gone must not stay open forever.
func TestCloseExpired(t *testing.T) {
	is := is.New(t)
	server := startRawServer(t, scriptedResponse{raw: okResponse("1", "x")})
	pool := NewPool()
	_, err := sendRequest(t.Context(), pool, server.Addr().String(), "1")
	is.NoErr(err)
	is.Equal(pool.OpenConnections(server.Addr().String()), 1)
	pool.CloseExpired(time.Now().Add(2 * idleTimeout))
	is.Equal(pool.OpenConnections(server.Addr().String()), 0)
}

// Guards against a write that its own caller cancelled and that counts as a crash of the server.
func TestCancelledWriteReturnsTheCause(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	conn, err := NewPool().Get(t.Context(), l.Addr().String())
	is.NoErr(err)
	ctx, cancel := context.WithCancelCause(t.Context())
	peerDone := make(chan error, 1)
	go func() {
		peer, err := l.Accept()
		if err == nil {
			defer peer.Close()
			_, err = peer.Read(make([]byte, 1))
		}
		cancel(galenastair.ErrProgressTimeout)
		peerDone <- err
		<-t.Context().Done()
	}()
	// larger than the socket buffers, so that the write blocks on the peer, which reads one byte
	body := make([]byte, 32<<20)
	_, err = conn.Do(ctx, Request{Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, Body: body}, func(http.Header) bool { return true })
	is.NoErr(<-peerDone)
	is.True(errors.Is(err, galenastair.ErrProgressTimeout))
	is.True(!errors.Is(err, galenastair.ErrResponseTruncated))
}
