package relay

import (
	"bufio"
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"
)

// echoServer starts a server that echoes all data.
func echoServer(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c); c.Close() }()
		}
	}()
	return l.Addr().String()
}

func echo(c net.Conn) error {
	_ = c.SetDeadline(time.Now().Add(200 * time.Millisecond))
	if _, err := c.Write([]byte("hello\n")); err != nil {
		return err
	}
	_, err := bufio.NewReader(c).ReadString('\n')
	return err
}

func TestRelayFailsOpenConnectionsAndNotNewOnes(t *testing.T) {
	is := is.New(t)
	server := echoServer(t)
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	r, err := New(server)
	is.NoErr(err)
	defer r.Close()
	dial := func() net.Conn {
		c, err := net.Dial("tcp", r.Address())
		is.NoErr(err)
		t.Cleanup(func() { c.Close() })
		return c
	}
	blackholed := dial()
	is.NoErr(echo(blackholed))
	r.Blackhole()
	err = echo(blackholed)
	is.True(errors.Is(err, os.ErrDeadlineExceeded)) // stays open, but carries no data

	closed := dial()
	is.NoErr(echo(closed))
	r.CloseConns()
	is.True(echo(closed) != nil)

	r.StopListening()
	_, err = net.Dial("tcp", r.Address())
	is.True(err != nil)
	is.NoErr(r.ResumeListening())
	is.NoErr(echo(dial()))
	is.Equal(r.Accepted(), 3)
}
