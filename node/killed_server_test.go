package node

import (
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"galenastair/standin/replica"
)

// startOnlyReplica starts a replica whose responses end with their connections, as the only one of its service.
func (c *cluster) startOnlyReplica(id, service string) *replicaProcess {
	for _, other := range []string{"e1", "e2", "p1", "p2"} {
		c.removeReplica(other)
	}
	return c.startReplica(processReplicaSettings{EventInterval: 50 * time.Millisecond, CloseDelimited: true,
		Settings: replica.Settings{ID: id, Service: service, EventsPerStream: 6, Label: "set"}})
}

// countShort sends requests and calls act while their responses are being sent. It returns how many look
// complete before their last piece.
func (c *cluster) countShort(n *runningNode, path, model string, requests int, act func()) int {
	c.t.Helper()
	c.waitFor("a complete response", func() bool { return strings.Count(c.call(n, path, model, key).body, "id: ") == 6 })
	var callers sync.WaitGroup
	var mu sync.Mutex
	short := 0
	for range requests {
		callers.Go(func() {
			resp := c.call(n, path, model, key)
			mu.Lock()
			defer mu.Unlock()
			if resp.err == nil && resp.status == 200 && strings.Count(resp.body, "id: ") < 6 {
				short++
			}
		})
	}
	time.Sleep(150 * time.Millisecond)
	act()
	callers.Wait()
	return short
}

// Guards against a response of a plain service that looks complete although the process of its server is being killed.
func TestResponseOfAKilledServerOfAPlainServiceDoesNotLookComplete(t *testing.T) {
	t.Parallel()
	const requests = 96
	c := newCluster(t, 1)
	p := c.startOnlyReplica("p9", "app")
	// the process closes these after the connections of the requests, and its listener last
	for range 500 {
		conn, err := net.Dial("tcp", p.settings.Address)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
	}
	if short := c.countShort(c.nodes[0], "/bid/1", "", requests, p.kill); short > 0 {
		t.Errorf("%d of %d responses look complete before their last piece", short, requests)
	}
}

// Guards against a response that looks complete as its server was killed and has restarted under its ID before a frozen node reads the end.
func TestResponseOfAServerThatRestartsWhileItsNodeIsFrozenDoesNotLookComplete(t *testing.T) {
	t.Parallel()
	const requests = 24
	for path, service := range map[string]string{"/stream/1": "writer", "/bid/1": "app"} {
		c := newCluster(t, 0)
		s := c.startOnlyReplica("s9", service)
		n := c.startProcesses(1)[0]
		short := c.countShort(n.runningNode, path, strings.Join(s.settings.Models, ""), requests, func() {
			_ = n.command.Process.Signal(syscall.SIGSTOP)
			s.kill()
			s.start()
			_ = n.command.Process.Signal(syscall.SIGCONT)
		})
		if short > 0 {
			t.Errorf("%s: %d of %d responses look complete before their last piece", path, short, requests)
		}
	}
}
