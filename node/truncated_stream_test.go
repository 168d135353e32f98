package node

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"galenastair/standin/replica"
)

// readStream reads a stream to its end, and reports whether the response was complete.
func readStream(req *http.Request) (body string, complete bool) {
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return "", false
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return string(data), err == nil && resp.StatusCode == http.StatusOK
}

// Guards against a stream that looks complete before its last event, as its server was killed and its
// response has neither a length nor chunks.
func TestStreamOfAKilledServerDoesNotLookComplete(t *testing.T) {
	t.Parallel()
	const streams = 24
	for _, path := range []string{"/stream/1", "/once-stream/1"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, 1)
			for _, r := range c.replicas {
				r.UpdateFaults(func(f *replica.Faults) { f.Decline = true })
			}
			p := c.startReplica(processReplicaSettings{
				Settings: replica.Settings{ID: "e9", EventsPerStream: 6}, EventInterval: 100 * time.Millisecond, CloseDelimited: true,
			})
			c.waitFor("a complete stream", func() bool { return c.call(c.nodes[0], path, "m1", key).body == completeStream })
			var callers sync.WaitGroup
			var mu sync.Mutex
			short := 0
			for range streams {
				callers.Go(func() {
					req := c.streamRequest(newAttemptID(), c.nodes[0])
					req.URL.Path = path
					body, complete := readStream(req)
					mu.Lock()
					defer mu.Unlock()
					if complete && body != completeStream {
						short++
						t.Logf("complete after %d events", strings.Count(body, "id: "))
					}
				})
			}
			time.Sleep(350 * time.Millisecond)
			p.kill()
			callers.Wait()
			if short > 0 {
				t.Errorf("%d of %d streams look complete before their last event", short, streams)
			}
		})
	}
}
