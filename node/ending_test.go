package node

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"galenastair/standin/replica"
)

// Guards against streams that are cut when their engine ends as it has announced, and against requests
// that are sent to it although they can't end before: each caller gets its whole stream.
func TestStreamsOutliveAnEngineThatAnnouncesItsEnd(t *testing.T) {
	const streams = 10
	is := is.New(t)
	c := newCluster(t, 2)
	for _, n := range c.nodes {
		// until then the retry budget of an instance is its part in a fleet of an assumed size
		c.waitFor("the fleet size to be known", func() bool { return c.fleetSize(n) == len(c.nodes) })
	}
	for _, r := range c.replicas {
		r.UpdateFaults(func(f *replica.Faults) { f.EventInterval = 450 * time.Millisecond })
	}
	bodies := make([]string, streams)
	var callers sync.WaitGroup
	for i := range bodies {
		callers.Go(func() { bodies[i] = c.readLongStream(c.nodes[i%2]) })
	}
	time.Sleep(200 * time.Millisecond)
	onE1 := c.streamsAt("e1")
	c.replicas["e1"].EndAfter(1600 * time.Millisecond)
	callers.Wait()
	for _, body := range bodies {
		is.Equal(body, completeStream)
	}
	t.Logf("%d of %d streams began at the engine that ended", onE1, streams)
	is.True(onE1 > 0)
	is.Equal(c.streamsAt("e1"), onE1) // none was sent after the announcement
	for _, run := range c.replicas["e1"].Runs() {
		is.True(run.Canceled) // not cut off by the engine
	}
}

// fleetSize returns the number of instances that a node knows.
func (c *cluster) fleetSize(n *runningNode) int {
	req, err := http.NewRequestWithContext(c.t.Context(), http.MethodGet, "http://"+n.settings.MetricsAddress+StatusPath, nil)
	if err != nil {
		c.t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	var s Status
	if json.NewDecoder(resp.Body).Decode(&s) != nil {
		return 0
	}
	return s.FleetSize
}

func (c *cluster) streamsAt(id string) int {
	n := 0
	for _, run := range c.replicas[id].Runs() {
		if run.RequestURI == "/stream/1" {
			n++
		}
	}
	return n
}

// readLongStream reads a stream whose answer is expected to take 2.4 s.
func (c *cluster) readLongStream(n *runningNode) string {
	req := c.streamRequest(newAttemptID(), n)
	req.Header.Set("Galenastair-Token-Usage", "100,1200")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err.Error()
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return err.Error()
	}
	return string(data)
}
