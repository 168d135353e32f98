package relay

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a response that is broken off and looks complete behind the relay, as it ends with its
// connection.
func TestBrokenConnectionIsReset(t *testing.T) {
	for name, c := range map[string]struct {
		end  func(server net.Conn, r *Relay)
		want error
	}{
		"closed by the server": {func(server net.Conn, _ *Relay) { _ = server.Close() }, nil},
		"reset by the server": {func(server net.Conn, _ *Relay) {
			_ = server.(*net.TCPConn).SetLinger(0)
			_ = server.Close()
		}, syscall.ECONNRESET},
		"closed by the relay": {func(_ net.Conn, r *Relay) { r.CloseConns() }, syscall.ECONNRESET},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer l.Close()
			r, err := New(l.Addr().String())
			is.NoErr(err)
			defer r.Close()
			client, err := net.Dial("tcp", r.Address())
			is.NoErr(err)
			defer client.Close()
			server, err := l.Accept()
			is.NoErr(err)
			defer server.Close()
			_, err = io.WriteString(server, "half")
			is.NoErr(err)
			_ = client.SetReadDeadline(time.Now().Add(5 * time.Second))
			_, err = io.ReadFull(client, make([]byte, len("half")))
			is.NoErr(err)
			c.end(server, r)
			_, err = io.ReadAll(client)
			is.True(errors.Is(err, c.want))
		})
	}
}
