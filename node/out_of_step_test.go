package node

import (
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	"galenastair/standin/replica"
)

// signalAll sends a signal to the processes.
func signalAll(processes []*nodeProcess, sig syscall.Signal) {
	for _, p := range processes {
		_ = p.command.Process.Signal(sig)
	}
}

// resumeRepeatedly resumes each stream at a node until it goes on or the time is over, and returns how many go on.
// All must do so at the version that began them.
func (c *cluster) resumeRepeatedly(n *runningNode, ids []string, duration time.Duration) int {
	c.t.Helper()
	end := time.Now().Add(duration)
	var mu sync.Mutex
	resumed := 0
	var callers sync.WaitGroup
	for _, first := range ids {
		callers.Go(func() {
			for time.Now().Before(end) {
				status, second := c.resumeStream(n, first)
				versions := c.versionsOf(func(r replica.Run) bool { return r.ID == first || r.ID == second })
				if len(versions) > 1 {
					c.t.Errorf("stream %s went on at another software version", first)
				}
				if status == 200 {
					mu.Lock()
					resumed++
					mu.Unlock()
					return
				}
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	callers.Wait()
	return resumed
}

// Guards against streams of two software versions, as a node that was frozen, or is cut off from the others, while
// servers of a new version joined resumes what others began there.
func TestNodeThatIsOutOfStepResumesStreamsAtTheirVersion(t *testing.T) {
	t.Parallel()
	for behind := range 3 {
		for _, cutOff := range []bool{false, true} {
			t.Run(fmt.Sprintf("node %d, cut off %t", behind, cutOff), func(t *testing.T) {
				t.Parallel()
				c := newCluster(t, 0)
				processes := c.startProcesses(3)
				for _, p := range processes {
					c.waitForStreams(p.runningNode)
				}
				late := processes[behind : behind+1]
				others := append(append([]*nodeProcess{}, processes[:behind]...), processes[behind+1:]...)
				signalAll(late, syscall.SIGSTOP)
				for _, name := range []string{"e3@v2", "e4@v2"} {
					c.addReplica(name, "writer", "m1")
				}
				var ids []string
				c.waitAtMost(12*time.Second, "streams of the new version", func() bool {
					id := c.beginStream(others[0].runningNode)
					if c.versionsOf(func(r replica.Run) bool { return r.ID == id })["v2"] {
						ids = append(ids, id)
					}
					return len(ids) == resumedStreams
				})
				if cutOff {
					signalAll(others, syscall.SIGSTOP)
				}
				signalAll(late, syscall.SIGCONT)
				resumed := c.resumeRepeatedly(late[0].runningNode, ids, 2*time.Second)
				signalAll(others, syscall.SIGCONT)
				resumed += c.resumeRepeatedly(late[0].runningNode, ids[resumed:], 3*time.Second)
				if resumed < len(ids)/2 {
					t.Errorf("%d of %d streams went on", resumed, len(ids))
				}
				t.Logf("%d of %d streams went on", resumed, len(ids))
			})
		}
	}
}
