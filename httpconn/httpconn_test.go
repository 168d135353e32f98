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

// peer is a raw HTTP peer: for each connection, each request it reads is answered with
// the next of its answers, byte for byte.
type peer struct {
	net.Listener
	requests atomic.Int32
	conns    atomic.Int32
	closed   chan struct{}
}

// step is what a peer does with one request.
type step struct {
	answer string
	// then closes the connection, or resets it.
	close, reset bool
}

func startPeer(t *testing.T, steps ...step) *peer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &peer{Listener: l, closed: make(chan struct{}, 8)}
	next := make(chan step, len(steps))
	for _, s := range steps {
		next <- s
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			p.conns.Add(1)
			go p.serve(c, next)
		}
	}()
	t.Cleanup(func() { _ = l.Close() })
	return p
}

func (p *peer) serve(c net.Conn, next chan step) {
	defer func() {
		_ = c.Close()
		p.closed <- struct{}{}
	}()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		p.requests.Add(1)
		select {
		case s := <-next:
			_, _ = io.WriteString(c, s.answer)
			if s.reset {
				_ = c.(*net.TCPConn).SetLinger(0)
			}
			if s.close || s.reset {
				return
			}
		default:
			// no answer: the peer hangs
		}
	}
}

func whole(id, body string) string {
	return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + itoa(len(body)) + "\r\n\r\n" + body
}

func itoa(n int) string {
	digits := ""
	for ; n > 0 || digits == ""; n /= 10 {
		digits = string(rune('0'+n%10)) + digits
	}
	return digits
}

// ask sends one request with an id and returns the answer's body.
func ask(ctx context.Context, c *Client, address, id string) (string, error) {
	k, err := c.Get(ctx, address)
	if err != nil {
		return "", err
	}
	a, err := k.Do(ctx, Request{Method: http.MethodPost, Target: "/x", Host: "a", Header: http.Header{}, Body: []byte("body")},
		func(h http.Header) bool { return h.Get("Id") == id })
	if err != nil {
		return "", err
	}
	defer a.Body.Close()
	data, err := io.ReadAll(a.Body)
	return string(data), err
}

// A bid goes out on a kept connection that the backend server closes under it. It may
// have run; the transport of net/http would send some such requests once more by itself.
func TestRequestOnConnectionThatClosesIsSentOnce(t *testing.T) {
	for name, s := range map[string]step{"closed": {close: true}, "reset": {reset: true}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := startPeer(t, step{answer: whole("1", "first")}, s, step{answer: whole("2", "again")})
			c := NewClient()
			_, err := ask(t.Context(), c, p.Addr().String(), "1")
			is.NoErr(err)
			_, err = ask(t.Context(), c, p.Addr().String(), "2")
			is.True(errors.Is(err, galenastair.ErrAnswerCut))
			is.Equal(p.requests.Load(), int32(2))
		})
	}
}

// A backend server closes an idle connection. The next request finds that out before it
// is sent, and goes out on a new one.
func TestConnectionClosedWhileIdleIsNotUsed(t *testing.T) {
	is := is.New(t)
	p := startPeer(t, step{answer: whole("1", "first"), close: true}, step{answer: whole("2", "second")})
	c := NewClient()
	_, err := ask(t.Context(), c, p.Addr().String(), "1")
	is.NoErr(err)
	<-p.closed
	body, err := ask(t.Context(), c, p.Addr().String(), "2")
	is.NoErr(err)
	is.Equal(body, "second")
	is.Equal(p.conns.Load(), int32(2))
}

// A backend server sends a second answer to a request that it has answered. It must
// reach nobody: neither the caller of the first, nor that of the next request.
func TestSecondAnswerReachesNobody(t *testing.T) {
	is := is.New(t)
	p := startPeer(t, step{answer: whole("1", "first") + whole("1", "first")}, step{answer: whole("2", "second")})
	c := NewClient()
	body, err := ask(t.Context(), c, p.Addr().String(), "1")
	is.NoErr(err)
	is.Equal(body, "first")
	body, err = ask(t.Context(), c, p.Addr().String(), "2")
	is.NoErr(err)
	is.Equal(body, "second")
}

// The extra answer comes late, where the next request's answer is expected: it is read
// over by its id.
func TestLateAnswerIsReadOver(t *testing.T) {
	is := is.New(t)
	p := startPeer(t, step{answer: whole("1", "first")}, step{answer: whole("1", "late") + whole("2", "second")})
	c := NewClient()
	_, err := ask(t.Context(), c, p.Addr().String(), "1")
	is.NoErr(err)
	body, err := ask(t.Context(), c, p.Addr().String(), "2")
	is.NoErr(err)
	is.Equal(body, "second")
	is.Equal(p.conns.Load(), int32(1))
}

// An answer that ends before its length, in the middle of a chunk, or with a reset
// where it has no length, is cut. One without a length that ends with its connection is
// whole.
func TestCutAnswersAreCut(t *testing.T) {
	chunked := "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, c := range map[string]struct {
		step step
		body string
		cut  bool
	}{
		"short of its length":      {step{answer: "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\nhalf", close: true}, "half", true},
		"in a chunk":               {step{answer: chunked + "8\r\nhalf", close: true}, "half", true},
		"without the last chunk":   {step{answer: chunked + "4\r\nhalf\r\n", close: true}, "half", true},
		"reset without a length":   {step{answer: "HTTP/1.1 200 OK\r\nId: 1\r\nConnection: close\r\n\r\nhalf", reset: true}, "half", true},
		"whole with its last":      {step{answer: chunked + "5\r\nwhole\r\n0\r\n\r\n"}, "whole", false},
		"whole with its closing":   {step{answer: "HTTP/1.1 200 OK\r\nId: 1\r\nConnection: close\r\n\r\nwhole", close: true}, "whole", false},
		"bytes that are no answer": {step{answer: "\x00\x01garbage\r\n\r\n", close: true}, "", true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := startPeer(t, c.step)
			body, err := ask(t.Context(), NewClient(), p.Addr().String(), "1")
			is.Equal(errors.Is(err, galenastair.ErrAnswerCut), c.cut)
			if !c.cut {
				is.NoErr(err)
				is.Equal(body, c.body)
			}
		})
	}
}

// Nothing listens: the request was certainly not sent.
func TestRefusedConnectionIsNotSent(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := l.Addr().String()
	is.NoErr(l.Close())
	_, err = ask(t.Context(), NewClient(), address, "1")
	is.True(errors.Is(err, galenastair.ErrNotSent))
	is.True(errors.Is(err, galenastair.ErrAbsent))
}

// A caller leaves while the backend server works: its connection closes at once, which
// is what stops the work.
func TestCancelClosesTheConnection(t *testing.T) {
	is := is.New(t)
	p := startPeer(t)
	ctx, cancel := context.WithCancelCause(t.Context())
	gone := errors.New("the caller left")
	time.AfterFunc(30*time.Millisecond, func() { cancel(gone) })
	begun := time.Now()
	_, err := ask(ctx, NewClient(), p.Addr().String(), "1")
	is.True(errors.Is(err, gone))
	select {
	case <-p.closed:
	case <-time.After(2 * time.Second):
		t.Fatal("the connection stayed open")
	}
	is.True(time.Since(begun) < 500*time.Millisecond)
}

// A peer announces how long it keeps an idle connection: it is given up before that.
func TestAnnouncedTimeoutIsKept(t *testing.T) {
	is := is.New(t)
	is.Equal(keepAlive(http.Header{"Keep-Alive": {"max=3, timeout=5"}}), 5*time.Second)
	is.Equal(keepAlive(http.Header{"Keep-Alive": {"nonsense"}}), time.Duration(0))
	p := startPeer(t, step{answer: strings.Replace(whole("1", "x"), "\r\n\r\n", "\r\nKeep-Alive: timeout=1\r\n\r\n", 1)}, step{answer: whole("2", "y")})
	c := NewClient()
	_, err := ask(t.Context(), c, p.Addr().String(), "1")
	is.NoErr(err)
	_, err = ask(t.Context(), c, p.Addr().String(), "2")
	is.NoErr(err)
	is.Equal(p.conns.Load(), int32(2))
}

// Kept connections to a backend server that is gone are closed in the end.
func TestPrune(t *testing.T) {
	is := is.New(t)
	p := startPeer(t, step{answer: whole("1", "x")})
	c := NewClient()
	_, err := ask(t.Context(), c, p.Addr().String(), "1")
	is.NoErr(err)
	is.Equal(c.Open(p.Addr().String()), 1)
	c.Prune(time.Now().Add(2 * idleTimeout))
	is.Equal(c.Open(p.Addr().String()), 0)
}
