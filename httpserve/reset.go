package httpserve

import (
	"context"
	"net"
	"net/http"
)

type socketKey struct{}

// resetTruncated has the server reset the connection of an HTTP/1.0 request whose handler does not return. A
// response without a length ends with its connection there, so that one that is broken off would look
// complete if the connection were closed as usual.
func resetTruncated(s *http.Server) {
	handler, connContext := s.Handler, s.ConnContext
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if connContext != nil {
			ctx = connContext(ctx, c)
		}
		return context.WithValue(ctx, socketKey{}, c)
	}
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !r.ProtoAtLeast(1, 1) {
			if socket := tcpConn(r.Context().Value(socketKey{})); socket != nil {
				serveWithReset(handler, w, r, socket)
				return
			}
		}
		handler.ServeHTTP(w, r)
	})
}

// serveWithReset sets the linger time to 0 while the handler runs, with which the kernel resets the
// connection whoever closes it, also if the process is killed.
func serveWithReset(handler http.Handler, w http.ResponseWriter, r *http.Request, socket *net.TCPConn) {
	_ = socket.SetLinger(0)
	handler.ServeHTTP(w, r)
	if w.Header().Get("Content-Length") == "" && http.NewResponseController(w).Flush() != nil {
		return
	}
	_ = socket.SetLinger(-1)
}

// tcpConn returns the TCP connection that c is or wraps, nil if there is none.
func tcpConn(c any) *net.TCPConn {
	for {
		switch t := c.(type) {
		case *net.TCPConn:
			return t
		case interface{ NetConn() net.Conn }:
			c = t.NetConn()
		default:
			return nil
		}
	}
}
