package httpconn

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"galenastair"
)

// truncatingServer answers the first requests of a connection with complete responses, and then sends a
// part of a response and ends the connection.
type truncatingServer struct {
	net.Listener
	before int
	part   string
	end    func(net.Conn)
}

func startTruncatingServer(t *testing.T) *truncatingServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return &truncatingServer{Listener: l}
}

func (s *truncatingServer) serveOne() error {
	c, err := s.Accept()
	if err != nil {
		return err
	}
	defer c.Close()
	r := bufio.NewReader(c)
	for n := 0; ; n++ {
		req, err := http.ReadRequest(r)
		if err != nil {
			return err
		}
		_, _ = io.Copy(io.Discard, req.Body)
		if n < s.before {
			_, err = io.WriteString(c, okResponse("0", "earlier"))
		} else {
			_, err = io.WriteString(c, s.part)
			s.end(c)
			return err
		}
		if err != nil {
			return err
		}
	}
}

var connectionEnds = map[string]func(net.Conn){
	"close":             func(net.Conn) {},
	"pause, then close": func(net.Conn) { time.Sleep(time.Millisecond) },
	"reset":             func(c net.Conn) { _ = c.(*net.TCPConn).SetLinger(0) },
	"pause, then reset": func(c net.Conn) { time.Sleep(time.Millisecond); _ = c.(*net.TCPConn).SetLinger(0) },
}

// Guards against a response that looks complete although its connection ended at any byte before its end.
func TestResponseThatEndsAtAnyByteIsTruncated(t *testing.T) {
	const (
		whole = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
		head  = "HTTP/1.1 200 OK\r\nId: 1\r\nServer: s\r\n"
		parts = "f\r\nid: 1\ndata: a\n\n\r\n00f;x=y\r\nid: 2\ndata: b\n\n\r\n"
	)
	framed := map[string]string{
		"length":            head + "Content-Length: 30\r\n\r\n" + whole,
		"length, HTTP/1.0":  strings.Replace(head, "1.1", "1.0", 1) + "Connection: keep-alive\r\nContent-Length: 30\r\n\r\n" + whole,
		"length, LF":        strings.ReplaceAll(head+"Content-Length: 30\r\n\r\n", "\r", "") + whole,
		"chunks":            head + "Transfer-Encoding: chunked\r\n\r\n" + parts + "0\r\n\r\n",
		"chunks, trailers":  head + "Transfer-Encoding: chunked\r\nTrailer: A, B\r\n\r\n" + parts + "000\r\nA: 1\r\nB: 2\r\n\r\n",
		"after 100":         "HTTP/1.1 100 Continue\r\n\r\n" + head + "Content-Length: 30\r\n\r\n" + whole,
		"after 103":         "HTTP/1.1 103 Early Hints\r\nId: 1\r\nContent-Length: 30\r\n\r\n" + head + "Transfer-Encoding: chunked\r\n\r\n" + parts + "0\r\n\r\n",
		"after another":     okResponse("0", "late") + head + "Content-Length: 30\r\n\r\n" + whole,
		"until close":       head + "Connection: close\r\n\r\n" + whole,
		"until close, 1.0":  strings.Replace(head, "1.1", "1.0", 1) + "\r\n" + whole,
		"until close, LF":   strings.ReplaceAll(head, "\r", "") + "\n" + whole,
		"close, after 103":  "HTTP/1.1 103 Early Hints\r\nId: 1\r\n\r\n" + head + "\r\n" + whole,
		"close, no headers": "HTTP/1.1 200 OK\r\n\r\n" + whole,
	}
	for name, raw := range framed {
		delimited := strings.Contains(name, "close")
		for end, endConn := range connectionEnds {
			for connection, before := range map[string]int{"new": 0, "reused": 1} {
				t.Run(name+", "+end+", "+connection, func(t *testing.T) {
					t.Parallel()
					s := startTruncatingServer(t)
					s.before, s.end = before, endConn
					for n := range len(raw) + 1 {
						s.part = raw[:n]
						served := make(chan error, 1)
						go func() { served <- s.serveOne() }()
						body, closeDelimited, err := requestAfter(t, s)
						if err := <-served; err != nil {
							t.Fatal(err)
						}
						reset := strings.Contains(end, "reset")
						switch {
						case err == nil && body == whole && (n == len(raw) || delimited && !reset):
						case err == nil && delimited && closeDelimited && !reset && strings.HasSuffix(raw[:n], body):
						case errors.Is(err, galenastair.ErrResponseTruncated) && (n < len(raw) || reset):
						case errors.Is(err, galenastair.ErrInvalidResponse) && name == "after another" && n < len(raw):
						default:
							t.Errorf("response that ends after %q: body %q, error %v", raw[:n], body, err)
						}
					}
				})
			}
		}
	}
}

// requestAfter sends a request on a connection that has carried s.before others. Its response has no other
// id than 1.
func requestAfter(t *testing.T, s *truncatingServer) (body string, closeDelimited bool, err error) {
	t.Helper()
	pool := NewPool()
	for range s.before {
		if _, err := sendRequest(t.Context(), pool, s.Addr().String(), "0"); err != nil {
			t.Fatal(err)
		}
	}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	conn, err := pool.Get(ctx, s.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if conn.Reused != (s.before > 0) {
		t.Fatal("another connection than the one to be tested")
	}
	resp, err := conn.Do(ctx, Request{Method: http.MethodPost, Target: "/x", Host: "a", Header: http.Header{}, Body: []byte("body")},
		func(h http.Header) bool { return h.Get("Id") != "0" })
	if err != nil {
		return "", false, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if _, again := resp.Body.Read(make([]byte, 1)); err != nil && errors.Is(again, io.EOF) {
		t.Errorf("the body is complete at the second read after %q", s.part)
	}
	return string(data), resp.CloseDelimited, err
}
