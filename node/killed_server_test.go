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

// countShortAfterFreeze returns how many of 24 responses look complete before their last piece if their server
// is killed and restarts under its ID while the node is frozen.
func countShortAfterFreeze(t *testing.T, path, service string) int {
	c := newCluster(t, 0)
	s := c.startOnlyReplica("s9", service)
	n := c.startProcesses(1)[0]
	return c.countShort(n.runningNode, path, strings.Join(s.settings.Models, ""), 24, func() {
		_ = n.command.Process.Signal(syscall.SIGSTOP)
		s.kill()
		s.start()
		_ = n.command.Process.Signal(syscall.SIGCONT)
	})
}

// Guards against a stream that looks complete as its server was killed and has restarted under its ID before a frozen node reads the end.
func TestStreamOfAServerThatRestartsWhileItsNodeIsFrozenDoesNotLookComplete(t *testing.T) {
	t.Parallel()
	if short := countShortAfterFreeze(t, "/stream/1", "writer"); short > 0 {
		t.Errorf("%d streams look complete before their last piece", short)
	}
}

// Guards against the same for a response of a plain service.
func TestResponseOfAServerThatRestartsWhileItsNodeIsFrozenDoesNotLookComplete(t *testing.T) {
	t.Parallel()
	if short := countShortAfterFreeze(t, "/bid/1", "app"); short > 0 {
		t.Errorf("%d responses look complete before their last piece", short)
	}
}
