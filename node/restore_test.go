package node

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"galenastair/standin/metastore"
)

// restoreStore has the store be away for a moment and return to a copy. What backend servers wrote is written
// again, by renewRegistrations, and what the operator wrote here.
func (c *cluster) restoreStore(older *metastore.Copy) {
	c.store.UpdateFaults(func(s *metastore.Faults) { s.Hang = true })
	time.Sleep(1500 * time.Millisecond)
	c.store.Restore(older)
	c.store.UpdateFaults(func(s *metastore.Faults) { s.Hang = false })
	c.publish(key)
}

// Guards against instances that lack a leader, and refuse requests, once the store was restored.
func TestRequestsAreServedAfterTheStoreIsRestored(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCluster(t, 3)
	for range 2 {
		older := c.store.Copy()
		time.Sleep(3 * time.Second)
		c.restoreStore(older)
		time.Sleep(3 * time.Second)
		served, sent := 0, 0
		for began := time.Now(); time.Since(began) < 4*time.Second; time.Sleep(20 * time.Millisecond) {
			for _, n := range c.nodes {
				sent++
				if c.call(n, "/stream/1", "m1", key).status == 200 {
					served++
				}
			}
		}
		t.Log("served", served, "of", sent)
		is.True(served >= sent*95/100)
		for _, n := range c.nodes {
			c.waitFor("a leader that answers", func() bool { return c.hasLeader(n) })
		}
	}
}

// Guards against requests to a backend server that says that it leaves after the store was restored.
func TestLeavingServerGetsNoRequestsAfterTheStoreIsRestored(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCluster(t, 3, "e3", "e4")
	older := c.store.Copy()
	time.Sleep(3 * time.Second)
	c.restoreStore(older)
	c.replicas["e2"].Drain()
	c.store.Put("keyed.servers", "e2", c.replicas["e2"].Registration())
	left := time.Now()
	for time.Since(left) < 5*time.Second {
		for _, n := range c.nodes {
			c.call(n, "/stream/1", "m1", key)
		}
	}
	late := 0
	for _, run := range c.replicas["e2"].Runs() {
		if run.StartedAt.Sub(left) > c.nodes[0].settings.Bounds.LeaveTimeout {
			late++
		}
	}
	is.Equal(late, 0)
}

// Guards against a server that leaves and is used again, as the copy does not know yet that it leaves.
func TestServerThatLeftBeforeTheCopyIsNotUsedAgain(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	v := newServerView()
	now := time.Unix(1000, 0)
	leaving := registration("s1", 7)
	leaving.Value = []byte(`{"service":"s","address":"10.0.0.1:80","zone":"z","version":"v1","slots":4,"state":"draining","born":1,"sequence":7}`)
	v.applyRecords(now, 0, true, registration("s1", 5), registration("s2", 5))
	v.applyRecords(now, 2, false, leaving)
	is.True(v.leaving["s1"])
	v.applyRecords(now, 1<<50, true, registration("s1", 5), registration("s2", 5))
	is.True(v.leaving["s1"])
	is.True(!v.leaving["s2"])
}
