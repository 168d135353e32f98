package node

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"galenastair/standin/replica"
)

// Guards against a request that may not be repeated and is taken so late in a shutdown that its response is cut.
func TestRequestThatCannotEndBeforeAShutdownIsRefused(t *testing.T) {
	t.Parallel()
	for _, path := range []string{"/bid/1", "/read/1"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			c := newCluster(t, 1)
			stopping := c.newSettings()
			stopping.Bounds.StopTimeout = 4 * time.Second
			n := c.startNodeWith(stopping)
			c.waitFor("an accepted read", func() bool { return c.call(n, "/read/1", "", key).status == 200 })
			for _, id := range []string{"p1", "p2"} {
				c.replicas[id].UpdateFaults(func(f *replica.Faults) { f.Hang = true })
			}
			runs := func() int { return len(c.replicas["p1"].Runs()) + len(c.replicas["p2"].Runs()) }
			before := runs()
			stopped := make(chan struct{})
			began := time.Now()
			go func() {
				defer close(stopped)
				c.stopNode(n)
			}()
			// the head arrives while requests are still accepted, the body late in the shutdown
			time.Sleep(drainDelay - 100*time.Millisecond)
			conn, err := net.Dial("tcp", n.settings.CallerAddress)
			is.NoErr(err)
			defer conn.Close()
			fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nGalenastair-Attempt-Id: %s\r\nGalenastair-Deadline-Ms: 30000\r\nAuthorization: Bearer %s\r\nContent-Length: 4\r\n\r\n", path, host, newAttemptID(), key)
			time.Sleep(time.Until(began.Add(drainDelay + 600*time.Millisecond)))
			fmt.Fprint(conn, "body")
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			is.NoErr(err)
			defer resp.Body.Close()
			is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
			is.True(resp.Header.Get("Retry-After") != "")
			is.Equal(runs(), before)
			<-stopped
		})
	}
}
