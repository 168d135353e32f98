package node

import (
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"galenastair/standin/replica"
)

// replacedReplica is a replica whose process can be replaced by another one with its ID and address.
type replacedReplica struct {
	*replica.Replica
	settings replica.Settings
	handler  atomic.Pointer[http.Handler]
	server   *http.Server
}

func (r *replacedReplica) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	(*r.handler.Load()).ServeHTTP(w, req)
}

func newReplica(s replica.Settings) *replica.Replica {
	r := replica.New(s)
	r.UpdateFaults(func(f *replica.Faults) { f.EventInterval = 150 * time.Millisecond })
	return r
}

// startReplaced starts a replica of version v1 and registers it once.
func (c *cluster) startReplaced(id string) *replacedReplica {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		c.t.Fatal(err)
	}
	s := replica.Settings{ID: id, Service: "writer", Address: l.Addr().String(), Zone: "z1", Version: "v1", Slots: 64, EventsPerStream: 6,
		MaxModels: 3, MaxAdapters: 2, Models: []string{"m1"}}
	r := &replacedReplica{Replica: newReplica(s), settings: s}
	h := r.Handler()
	r.handler.Store(&h)
	r.server = &http.Server{Handler: r}
	go func() { _ = r.server.Serve(l) }()
	c.t.Cleanup(func() { _ = r.server.Close() })
	c.store.Put("keyed.servers", id, r.Registration())
	return r
}

// replace has a process of another version take the replica's ID and address. Its registration does not
// change yet.
func (r *replacedReplica) replace(t *testing.T, version string) *replica.Replica {
	_ = r.server.Close()
	l, err := net.Listen("tcp", r.settings.Address)
	if err != nil {
		t.Fatal(err)
	}
	// the time of the start is in milliseconds
	time.Sleep(2 * time.Millisecond)
	s := r.settings
	s.Version = version
	next := newReplica(s)
	h := next.Handler()
	r.handler.Store(&h)
	r.server = &http.Server{Handler: r}
	go func() { _ = r.server.Serve(l) }()
	return next
}

// Guards against streams that go on at another software version, as their server has restarted with it under
// its ID, and its registration has not changed yet.
func TestStreamsDoNotGoOnAtAServerThatRestartedWithAnotherVersion(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCluster(t, 1, "e3@v2")
	c.waitForVersions(c.nodes[0])
	for _, r := range c.replicas {
		r.UpdateFaults(func(f *replica.Faults) { f.Decline = true })
	}
	r := c.startReplaced("e9")
	c.waitFor("a stream at the replica", func() bool {
		c.beginStream(c.nodes[0])
		return len(r.Runs()) > 0
	})
	ids := c.beginStreams(c.nodes[0])
	status, _ := c.resumeStream(c.nodes[0], ids[0])
	is.Equal(status, http.StatusOK)
	next := r.replace(t, "v2")
	wentOn := 0
	for _, id := range ids {
		if status, _ := c.resumeStream(c.nodes[0], id); status == http.StatusOK {
			wentOn++
		}
	}
	t.Logf("the replica has run %d requests since it restarted", len(next.Runs()))
	is.Equal(wentOn, 0)
}
