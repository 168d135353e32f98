package node

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"galenastair/standin/metastore"
	"galenastair/standin/replica"
)

// resumedStreams is how many streams a test takes up again; half of them at least must go on.
const resumedStreams = 16

// newVersionedCluster returns a cluster whose engines have two software versions.
func newVersionedCluster(t *testing.T, nodes int) *cluster {
	c := newCluster(t, nodes, "e3@v2", "e4@v2")
	for _, r := range c.replicas {
		r.UpdateFaults(func(f *replica.Faults) { f.EventInterval = 150 * time.Millisecond })
	}
	for _, n := range c.nodes {
		c.waitForVersions(n)
	}
	return c
}

// waitForVersions waits until a node sends requests to both versions.
func (c *cluster) waitForVersions(n *runningNode) {
	c.waitFor("streams of both versions", func() bool {
		c.beginStream(n)
		return len(c.versionsOf(func(r replica.Run) bool {
			return r.Source == n.links.source.String() && strings.HasPrefix(r.RequestURI, "/stream/")
		})) == 2
	})
}

// versionsOf returns the software versions that have executed the requests that match.
func (c *cluster) versionsOf(match func(replica.Run) bool) map[string]bool {
	out := map[string]bool{}
	for id, r := range c.replicas {
		for _, run := range r.Runs() {
			if match(run) {
				out[c.versions[id]] = true
			}
		}
	}
	return out
}

// beginStream starts a stream at a node, reads its first event and closes the connection. It returns
// the ID of the attempt.
func (c *cluster) beginStream(n *runningNode) string {
	id := newAttemptID()
	resp, err := http.DefaultClient.Do(c.streamRequest(id, n))
	if err != nil {
		return id
	}
	defer resp.Body.Close()
	_, _ = bufio.NewReader(resp.Body).ReadString('\n')
	return id
}

func (c *cluster) streamRequest(id string, n *runningNode) *http.Request {
	req, err := http.NewRequestWithContext(c.t.Context(), http.MethodPost, "http://"+n.settings.CallerAddress+"/stream/1", strings.NewReader("body of "+id))
	if err != nil {
		c.t.Fatal(err)
	}
	req.Host = host
	req.Header.Set("Galenastair-Attempt-Id", id)
	req.Header.Set("Galenastair-Deadline-Ms", "5000")
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("Galenastair-Model", "m1")
	req.Header.Set("Galenastair-Token-Usage", "100,20")
	return req
}

// beginStreams starts streams at a node and breaks them off.
func (c *cluster) beginStreams(n *runningNode) []string {
	ids := make([]string, resumedStreams)
	var callers sync.WaitGroup
	for i := range ids {
		callers.Go(func() { ids[i] = c.beginStream(n) })
	}
	callers.Wait()
	return ids
}

// resumeStream resumes a stream at a node and returns the status and the ID of the new attempt.
func (c *cluster) resumeStream(n *runningNode, resumes string) (status int, id string) {
	id = newAttemptID()
	req := c.streamRequest(id, n)
	req.Header.Set("Last-Event-Id", "1")
	req.Header.Set("Resumes", resumes)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, id
	}
	defer resp.Body.Close()
	return resp.StatusCode, id
}

// checkResumes resumes streams at the nodes in turn. All that go on must do so at the version that began
// them, and enough must go on.
func (c *cluster) checkResumes(ids []string, nodes ...*runningNode) {
	c.t.Helper()
	resumed := 0
	for i, first := range ids {
		status, second := c.resumeStream(nodes[i%len(nodes)], first)
		if status == http.StatusOK {
			resumed++
		}
		versions := c.versionsOf(func(r replica.Run) bool { return r.ID == first || r.ID == second })
		if len(versions) > 1 {
			c.t.Errorf("stream %s went on at another software version", first)
		}
	}
	if resumed < len(ids)/2 {
		c.t.Errorf("%d of %d streams went on", resumed, len(ids))
	}
}

// Guards against streams of two software versions, as the instance that a client resumes at does not know
// the first one.
func TestClientsResumeStreamsAtTheirSoftwareVersion(t *testing.T) {
	t.Parallel()
	c := newVersionedCluster(t, 3)
	c.checkResumes(c.beginStreams(c.nodes[0]), c.nodes[1], c.nodes[2], c.nodes[0])
}

// Guards against streams whose version only the instance knew that has ended.
func TestStreamsOfAnEndedInstanceGoOn(t *testing.T) {
	t.Parallel()
	c := newVersionedCluster(t, 3)
	ids := c.beginStreams(c.nodes[0])
	c.stopNode(c.nodes[0])
	c.checkResumes(ids, c.nodes[1], c.nodes[2])
}

// Guards against streams of two software versions at an instance that has just started.
func TestRestartedInstanceResumesStreamsAtTheirSoftwareVersion(t *testing.T) {
	t.Parallel()
	c := newVersionedCluster(t, 3)
	ids := c.beginStreams(c.nodes[0])
	c.stopNode(c.nodes[1])
	n := c.startNode()
	c.waitForVersions(n)
	c.checkResumes(ids, n)
}

// Guards against streams of two software versions while neither store nor leader answers.
func TestStreamsGoOnWithoutStore(t *testing.T) {
	t.Parallel()
	c := newVersionedCluster(t, 3)
	c.store.UpdateFaults(func(f *metastore.Faults) { f.Refuse = true })
	time.Sleep(time.Second)
	c.checkResumes(c.beginStreams(c.nodes[0]), c.nodes[1], c.nodes[2])
}

// Guards against a stream that goes on at any version, because no instance knows its first attempt.
func TestStreamOfAnUnknownVersionIsRefused(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newVersionedCluster(t, 2)
	for range 4 {
		status, _ := c.resumeStream(c.nodes[0], newAttemptID())
		is.Equal(status, http.StatusServiceUnavailable)
	}
}

// Guards against a resumed stream that lacks events, or holds some twice, while its first attempt is still
// being written.
func TestStreamIsResumedWhileItsFirstAttemptIsWritten(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newVersionedCluster(t, 2)
	for range resumedStreams {
		first := newAttemptID()
		resp, err := http.DefaultClient.Do(c.streamRequest(first, c.nodes[0]))
		is.NoErr(err)
		begun := bufio.NewReader(resp.Body)
		_, err = begun.ReadString('\n')
		is.NoErr(err)
		second := newAttemptID()
		req := c.streamRequest(second, c.nodes[1])
		req.Header.Set("Last-Event-Id", "1")
		req.Header.Set("Resumes", first)
		var body string
		c.waitFor("the stream to go on", func() bool {
			var complete bool
			body, complete = readStream(req.Clone(req.Context()))
			req.Body, _ = req.GetBody()
			return complete
		})
		_, rest, _ := strings.Cut(completeStream, "\n\n")
		is.Equal(body, rest)
		rest2, err := io.ReadAll(begun)
		resp.Body.Close()
		is.NoErr(err)
		is.Equal("id: 1\n"+string(rest2), completeStream)
		is.Equal(len(c.versionsOf(func(r replica.Run) bool { return r.ID == first || r.ID == second })), 1)
	}
}
