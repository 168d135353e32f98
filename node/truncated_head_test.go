package node

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"path"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"galenastair/standin/replica"
)

// truncatingReplica is a replica that sends as many bytes of its response as the last part of the path says,
// and then ends the connection.
type truncatingReplica struct {
	mu       sync.Mutex
	response string
	reset    bool
	// sent has the requests that got a part of a response, by their paths.
	sent map[string]bool
}

const truncatedBody = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"

var truncatedResponses = map[string]string{
	"length": "Content-Length: 30\r\n\r\n" + truncatedBody,
	"chunks": "Transfer-Encoding: chunked\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\nf\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n",
}

// responseTo returns the complete response to a request.
func (r *truncatingReplica) responseTo(id string) string {
	return "HTTP/1.1 200 OK\r\nGalenastair-Attempt-Id: " + id + "\r\nGalenastair-Server-Signature: s\r\n" + r.response
}

func (r *truncatingReplica) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	response := r.responseTo(req.Header.Get("Galenastair-Attempt-Id"))
	if n, err := strconv.Atoi(path.Base(req.URL.Path)); err == nil {
		response = response[:min(n, len(response))]
		r.sent[req.URL.Path] = true
	}
	_, _ = conn.Write([]byte(response))
	if r.reset {
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
}

func (r *truncatingReplica) setResponse(response string, reset bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.response, r.reset, r.sent = response, reset, map[string]bool{}
}

func (r *truncatingReplica) hasSent(path string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sent[path]
}

// addTruncatingReplica adds a replica that serves instead of all others of its service.
func (c *cluster) addTruncatingReplica(service string, models ...string) *truncatingReplica {
	for id, other := range c.replicas {
		if strings.HasPrefix(id, "e") == (service == "writer") {
			c.removeReplica(id)
			other.UpdateFaults(func(f *replica.Faults) { f.Decline = true })
		}
	}
	r := &truncatingReplica{}
	// an instance takes one server that it does not reach for one that has ended, two for a partition
	for n := range 2 {
		c.startTruncatingServer(r, replica.Settings{ID: fmt.Sprintf("t%d-%s", n, service), Service: service, Models: models})
	}
	return r
}

func (c *cluster) startTruncatingServer(r *truncatingReplica, s replica.Settings) {
	var registered *replica.Replica
	mux := http.NewServeMux()
	mux.HandleFunc("/v1/", func(w http.ResponseWriter, req *http.Request) { registered.Handler().ServeHTTP(w, req) })
	mux.Handle("/", r)
	h := httptest.NewUnstartedServer(mux)
	s.Address, s.Zone, s.Version, s.Slots = h.Listener.Addr().String(), "z1", "v1", 64
	if len(s.Models) > 0 {
		s.MaxModels, s.MaxAdapters = 3, 2
	}
	registered = replica.New(s)
	h.Start()
	c.t.Cleanup(h.Close)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.registered[s.ID] = registered
	c.store.Put("keyed.servers", s.ID, registered.Registration())
}

// Guards against a response that looks complete to the caller, as its server stopped at any byte before its
// end, also if another instance forwards the request.
func TestResponseThatEndsAtAnyByteDoesNotLookComplete(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 2)
	n := c.nodes[1]
	replicas := map[string]*truncatingReplica{
		"/bid/":         c.addTruncatingReplica("app"),
		"/once-stream/": c.addTruncatingReplica("writer", "m1"),
	}
	models := map[string]string{"/once-stream/": "m1"}
	for _, forwarded := range []bool{false, true} {
		if forwarded {
			n.links.partition(resetAll)
		}
		for prefix, r := range replicas {
			for name, response := range truncatedResponses {
				for _, reset := range []bool{false, true} {
					t.Run(fmt.Sprintf("%s%s, reset %v, forwarded %v", prefix, name, reset, forwarded), func(t *testing.T) {
						r.setResponse(response, reset)
						c.waitFor("a complete response", func() bool { return c.call(n, prefix+"999", models[prefix], key).body == truncatedBody })
						for cut := range len(r.responseTo("r10000")) + 1 {
							c.testTruncatedResponse(t, n, r, prefix+strconv.Itoa(cut), models[prefix], cut)
						}
					})
				}
			}
		}
	}
}

// testTruncatedResponse calls a node until the replica has sent a response, of which cut bytes are left.
func (c *cluster) testTruncatedResponse(t *testing.T, n *runningNode, r *truncatingReplica, target, model string, cut int) {
	t.Helper()
	var got response
	for began := time.Now(); !r.hasSent(target); time.Sleep(time.Millisecond) {
		if time.Since(began) > 6*time.Second {
			t.Fatalf("no request reached the server; the last one got %d %q, %v", got.status, got.body, got.err)
		}
		id := newAttemptID()
		got = c.attempt(id, n, target, model, key)
		whole := r.responseTo(id)
		if got.status == http.StatusOK && got.err == nil && (got.body != truncatedBody || cut < len(whole)) {
			t.Errorf("response that ends after %q looks complete: %q", whole[:cut], got.body)
		}
	}
}
