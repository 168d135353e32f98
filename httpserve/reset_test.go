package httpserve

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/oklog/run"
)

// startGroup serves h with Add until stop is called.
func startGroup(t *testing.T, h http.Handler, wrap func(net.Listener) net.Listener) (address string, stop func()) {
	t.Helper()
	l, err := Listen(t.Context(), "127.0.0.1:0", 0)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.WithoutCancel(t.Context()))
	var g run.Group
	Add(&g, &http.Server{Handler: h}, wrap(l))
	g.Add(func() error {
		<-ctx.Done()
		return nil
	}, func(error) { cancel() })
	ended := make(chan error, 1)
	go func() { ended <- g.Run() }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	return l.Addr().String(), cancel
}

type wrappedListener struct{ net.Listener }

func (l wrappedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return wrappedConn{c}, err
}

type wrappedConn struct{ net.Conn }

func (c wrappedConn) NetConn() net.Conn { return c.Conn }

// Guards against a response without a length that is broken off and looks complete to an HTTP/1.0 client.
func TestBrokenOffResponseIsResetForHTTP10(t *testing.T) {
	begin := func(w http.ResponseWriter) {
		_, _ = io.WriteString(w, "half")
		_ = http.NewResponseController(w).Flush()
	}
	for name, c := range map[string]struct {
		handler  func(w http.ResponseWriter, stop func())
		complete bool
	}{
		"aborted": {func(w http.ResponseWriter, _ func()) { begin(w); panic(http.ErrAbortHandler) }, false},
		"aborted after its header": {func(w http.ResponseWriter, _ func()) {
			w.WriteHeader(http.StatusOK)
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}, false},
		"the server is closed": {func(w http.ResponseWriter, stop func()) { begin(w); stop(); time.Sleep(300 * time.Millisecond) }, false},
		"the write deadline ends": {func(w http.ResponseWriter, _ func()) {
			begin(w)
			_ = http.NewResponseController(w).SetWriteDeadline(time.Unix(1, 0))
			_, _ = io.WriteString(w, "half")
		}, false},
		"complete":                    {func(w http.ResponseWriter, _ func()) { begin(w); _, _ = io.WriteString(w, "half") }, true},
		"complete and large":          {func(w http.ResponseWriter, _ func()) { _, _ = io.WriteString(w, strings.Repeat("x", 4<<20)) }, true},
		"complete with a length":      {func(w http.ResponseWriter, _ func()) { w.Header().Set("Content-Length", "4"); begin(w) }, true},
		"complete with short content": {func(w http.ResponseWriter, _ func()) { _, _ = io.WriteString(w, "whole") }, true},
		"complete without a body":     {func(http.ResponseWriter, func()) {}, true},
	} {
		for listener, wrap := range map[string]func(net.Listener) net.Listener{
			"plain":   func(l net.Listener) net.Listener { return l },
			"wrapped": func(l net.Listener) net.Listener { return wrappedListener{l} },
		} {
			t.Run(name+", "+listener, func(t *testing.T) {
				is := is.New(t)
				stopped := make(chan func(), 1)
				address, stop := startGroup(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { c.handler(w, <-stopped) }), wrap)
				stopped <- stop
				conn, err := net.Dial("tcp", address)
				is.NoErr(err)
				defer conn.Close()
				_, err = fmt.Fprint(conn, "GET / HTTP/1.0\r\n\r\n")
				is.NoErr(err)
				_, err = io.ReadAll(conn)
				if c.complete {
					is.NoErr(err)
				} else {
					is.True(errors.Is(err, syscall.ECONNRESET))
				}
			})
		}
	}
}
