package node

import (
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"galenastair/standin/replica"
)

// Guards against a response of a plain service that looks complete although the process of its server is being killed.
func TestResponseOfAKilledServerOfAPlainServiceDoesNotLookComplete(t *testing.T) {
	t.Parallel()
	const rounds, requests = 2, 48
	c := newCluster(t, 1)
	c.removeReplica("p1")
	c.removeReplica("p2")
	n := c.nodes[0]
	settings := processReplicaSettings{EventInterval: 50 * time.Millisecond, CloseDelimited: true,
		Settings: replica.Settings{ID: "p9", Service: "app", EventsPerStream: 6, Label: "set"}}
	short := 0
	for range rounds {
		p := c.startReplica(settings)
		c.waitFor("a complete response", func() bool { return strings.Count(c.call(n, "/bid/1", "", key).body, "id: ") == 6 })
		// the process closes these after the connections of the requests, and its listener last
		for range 500 {
			conn, err := net.Dial("tcp", p.settings.Address)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
		}
		var callers sync.WaitGroup
		var mu sync.Mutex
		for range requests {
			callers.Go(func() {
				resp := c.call(n, "/bid/1", "", key)
				mu.Lock()
				defer mu.Unlock()
				if resp.err == nil && resp.status == 200 && strings.Count(resp.body, "id: ") < 6 {
					short++
				}
			})
		}
		time.Sleep(150 * time.Millisecond)
		p.kill()
		callers.Wait()
		c.removeReplica(p.settings.ID)
		settings.ID += "r"
	}
	if short > 0 {
		t.Errorf("%d of %d responses look complete before their last piece", short, rounds*requests)
	}
}
