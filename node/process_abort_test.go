package node

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"galenastair"
	"galenastair/standin/replica"
)

// rawStream requests a stream, calls interrupt after its second event, and reads it to its end.
func rawStream(t *testing.T, address, proto string, header http.Header, interrupt func()) (body string, complete bool) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	var text strings.Builder
	_ = header.Write(&text)
	if _, err := fmt.Fprintf(conn, "POST /stream/1 %s\r\nHost: %s\r\n%sContent-Length: 0\r\n\r\n", proto, host, text.String()); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var got strings.Builder
	r := bufio.NewReader(io.TeeReader(resp.Body, &got))
	for events := 0; events < 2; {
		line, err := r.ReadString('\n')
		if err != nil {
			t.Fatal(err)
		}
		if line == "\n" {
			events++
		}
	}
	interrupt()
	_, err = io.Copy(io.Discard, r)
	return got.String(), err == nil && resp.StatusCode == http.StatusOK
}

// Guards against a stream that looks complete before its last event, as the instance that sends it is killed,
// shuts down past its timeout, or stops at the deadline.
func TestStreamThatAnInstanceBreaksOffDoesNotLookComplete(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1)
	for _, r := range c.replicas {
		r.UpdateFaults(func(f *replica.Faults) { f.EventInterval = 300 * time.Millisecond })
	}
	for name, interrupt := range map[string]func(*nodeProcess){
		"not interrupted": func(*nodeProcess) {},
		"killed":          func(p *nodeProcess) { _ = p.command.Process.Kill() },
		"shut down":       func(p *nodeProcess) { _ = p.command.Process.Signal(syscall.SIGTERM) },
		"deadline":        func(*nodeProcess) {},
	} {
		for _, port := range []string{"callers'", "peers'"} {
			for _, proto := range []string{"HTTP/1.0", "HTTP/1.1"} {
				t.Run(name+", "+port+" port, "+proto, func(t *testing.T) {
					is := is.New(t)
					s := c.newSettings()
					s.Bounds.StopTimeout = 900 * time.Millisecond
					p := &nodeProcess{runningNode: &runningNode{settings: s}, c: c}
					p.start()
					defer killAll([]*nodeProcess{p})
					p.waitReady()
					c.waitFor("an accepted read", func() bool { return c.call(p.runningNode, "/read/1", "", key).status == 200 })
					header := http.Header{}
					header.Set("Galenastair-Attempt-Id", newAttemptID())
					header.Set("Galenastair-Model", "m1")
					header.Set("Galenastair-Token-Usage", "100,20")
					header.Set("Galenastair-Deadline-Ms", "3000")
					address := s.CallerAddress
					if port == "peers'" {
						address = s.PeerAddress
						header.Set("Galenastair-Forwarded-Key", string(galenastair.HashKey(key)))
						header.Set("Galenastair-Forwarded-Attempts", "2")
					} else {
						header.Set("Authorization", "Bearer "+key)
					}
					if name == "deadline" {
						header.Set("Galenastair-Deadline-Ms", "900")
					}
					body, complete := rawStream(t, address, proto, header, func() { interrupt(p) })
					is.Equal(complete, name == "not interrupted")
					is.Equal(body == completeStream, complete)
				})
			}
		}
	}
}
