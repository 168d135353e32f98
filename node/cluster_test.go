package node

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"galenastair"
	"galenastair/settings"
	"galenastair/standin/metastore"
	"galenastair/standin/replica"
)

const (
	host = "a.example"
	key  = "key-of-org"
	// routeAttempts is the number of servers that may run a request.
	routeAttempts = 2
)

// cluster consists of a store, replicas and nodes that listen on loopback addresses.
type cluster struct {
	t        *testing.T
	store    *metastore.Store
	address  string
	replicas map[string]*replica.Replica
	// versions has the software versions of the replicas.
	versions map[string]string
	version  int
	nodes    []*runningNode
	// registered has the replicas that renew their registrations.
	mu         sync.Mutex
	registered map[string]*replica.Replica
	// started is the number of nodes that were started.
	started int
	// unchanged has the replicas write their registrations only when they change.
	unchanged atomic.Bool
	// load is how nodes that are started later handle shortage.
	load settings.LoadHandling
}

type runningNode struct {
	settings settings.Gateway
	// links are the node's connections to backend servers.
	links *serverLinks
	stop  context.CancelFunc
	done  chan error
	once  sync.Once
}

// newCluster starts nodes, a store and replicas. engines are the names of further engines that hold m1.
func newCluster(t *testing.T, nodes int, engines ...string) *cluster {
	t.Helper()
	c := &cluster{t: t, store: metastore.New(), replicas: map[string]*replica.Replica{}, registered: map[string]*replica.Replica{}, versions: map[string]string{}}
	h := httptest.NewServer(c.store.Handler())
	t.Cleanup(func() {
		h.CloseClientConnections()
		h.Close()
	})
	c.address = h.Listener.Addr().String()
	c.addReplica("e1", "writer", "m1", "m2")
	c.addReplica("e2", "writer", "m1")
	for _, id := range engines {
		c.addReplica(id, "writer", "m1")
	}
	c.addReplica("p1", "app")
	c.addReplica("p2", "app")
	c.publish(key)
	renewalsDone := make(chan struct{})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		defer close(renewalsDone)
		c.renewRegistrations(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-renewalsDone
	})
	for range nodes {
		c.startNode()
	}
	for _, n := range c.nodes {
		// quotas are empty until a lender is found
		c.waitFor("an accepted read", func() bool { return c.call(n, "/read/1", "", key).status == 200 })
	}
	return c
}

// addReplica adds a replica. The name is its ID, or ID@VERSION if its software is not of version v1.
func (c *cluster) addReplica(name, service string, models ...string) {
	id, version, ok := strings.Cut(name, "@")
	if !ok {
		version = "v1"
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		c.t.Fatal(err)
	}
	s := replica.Settings{ID: id, Service: service, Address: l.Addr().String(), Zone: "z1", Version: version, Slots: 8, EventsPerStream: 6}
	if len(models) > 0 {
		s.MaxModels, s.MaxAdapters, s.Models = 3, 2, models
	}
	r := replica.New(s)
	h := &httptest.Server{Listener: l, Config: &http.Server{Handler: r.Handler()}}
	h.Start()
	c.t.Cleanup(func() {
		h.CloseClientConnections()
		h.Close()
	})
	c.replicas[id], c.versions[id] = r, version
	c.mu.Lock()
	defer c.mu.Unlock()
	c.registered[id] = r
	c.store.Put("keyed.servers", id, r.Registration())
}

// renewRegistrations renews the registrations of the replicas periodically, as replicas do.
func (c *cluster) renewRegistrations(ctx context.Context) {
	tick := time.NewTicker(200 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			if c.unchanged.Load() {
				continue
			}
			c.mu.Lock()
			for id, r := range c.registered {
				c.store.Put("keyed.servers", id, r.Registration())
			}
			c.mu.Unlock()
		case <-ctx.Done():
			return
		}
	}
}

// publish stores a new version of the configuration with these keys of the organisation.
func (c *cluster) publish(keys ...string) {
	c.version++
	route := func(name, prefix, kind, service string, resumable bool) map[string]any {
		return map[string]any{"name": name, "host": host, "path-prefix": prefix, "route-type": kind, "timeout-ms": 3000,
			"target-latency-ms": 500, "priority": 1, "service": service, "attempts": routeAttempts, "resumable": resumable}
	}
	models := []map[string]any{}
	for _, m := range []string{"m1", "m2", "m3"} {
		models = append(models, map[string]any{"name": m, "weights-mb": 70000, "load-s": 0.1, "adapters": 3, "adapter-mb": 60})
	}
	data, err := json.Marshal(map[string]any{
		"version": c.version,
		"routes": []any{
			route("stream", "/stream/", "stream", "writer", true), route("once-stream", "/once-stream/", "stream", "writer", false), route("read", "/read/", "safe", "app", false),
			route("bid", "/bid/", "unsafe", "app", false),
		},
		"services": []any{
			map[string]any{"name": "writer", "max-conns": 100, "engine": map[string]any{"slots": 8, "kv-tokens": 100000, "models": models,
				"weights-mb": 230000, "adapter-slots": 2, "loads-per-s": 5}},
			map[string]any{"name": "app", "max-conns": 100},
		},
		"limits":  map[string]any{"max-header-bytes": 16384, "max-body-bytes": 1 << 20},
		"tenants": []any{map[string]any{"name": "org", "api-keys": keys, "unit": "tokens", "plain-tokens": 10, "rate-per-s": 1000000, "burst": 1000000}},
	})
	if err != nil {
		c.t.Fatal(err)
	}
	c.store.Put("keyed.op", "config", data)
}

// nextPort counts up through ports below the ephemeral range. An outgoing connection could take a
// port of that range between the check that it is free and the node's listen.
var nextPort atomic.Int32

func init() { nextPort.Store(20000 + rand.Int32N(10000)) }

func freeAddress(t *testing.T) string {
	t.Helper()
	for range 200 {
		address := fmt.Sprintf("127.0.0.1:%d", nextPort.Add(1))
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		l.Close()
		return address
	}
	t.Fatal("no port is free")
	return ""
}

// newSettings returns the settings of one more node.
func (c *cluster) newSettings() settings.Gateway {
	c.started++
	return settings.Gateway{
		ID: galenastair.InstanceID(fmt.Sprintf("n%d", c.started)), Region: "r", AvailabilityZone: "z1",
		Zones:         map[galenastair.AvailabilityZone]galenastair.Region{"z1": "r", "z2": "r2"},
		CallerAddress: freeAddress(c.t), ReadyAddress: freeAddress(c.t), PeerAddress: freeAddress(c.t), MetricsAddress: freeAddress(c.t),
		StoreAddress: c.address, MemoryLimit: 1 << 30, Load: c.load,
		Bounds: settings.Bounds{KeyLife: 5 * time.Second, StopTimeout: 8 * time.Second, ApplyTimeout: 2 * time.Second, LeaveTimeout: 2 * time.Second, FencesChecked: true,
			RetryRatio: 0.2, RetrySlack: 50, QuotaWindow: 8 * time.Second, QuotaOver: 0.1, QuotaSlack: 17000},
	}
}

func (c *cluster) startNode() *runningNode { return c.startNodeWith(c.newSettings()) }

func (c *cluster) startNodeWith(s settings.Gateway) *runningNode {
	ctx, cancel := context.WithCancel(context.WithoutCancel(c.t.Context()))
	r := &runningNode{settings: s, links: newServerLinks(len(c.nodes)), stop: cancel, done: make(chan error, 1)}
	go func() { r.done <- New(s, WithBackendDialer(r.links.dial)).Run(ctx) }()
	c.nodes = append(c.nodes, r)
	c.t.Cleanup(func() { c.stopNode(r) })
	c.waitFor("the node to be ready", func() bool { return c.status("http://"+s.ReadyAddress+"/v1/ready") == 200 })
	return r
}

// stopNode stops a node and waits until Run has returned.
func (c *cluster) stopNode(r *runningNode) {
	r.once.Do(func() {
		r.stop()
		if err := <-r.done; err != nil && !errors.Is(err, context.Canceled) {
			c.t.Error(err)
		}
	})
}

func (c *cluster) status(url string) int {
	resp, err := http.Get(url)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

// hasLeader reports whether a leader answers a node.
func (c *cluster) hasLeader(n *runningNode) bool {
	resp, err := http.Get("http://" + n.settings.MetricsAddress + "/metrics")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	page, err := io.ReadAll(resp.Body)
	return err == nil && strings.Contains(string(page), "galenastair_alone 0\n")
}

func (c *cluster) waitFor(condition string, ok func() bool) {
	c.t.Helper()
	c.waitAtMost(6*time.Second, condition, ok)
}

func (c *cluster) waitAtMost(timeout time.Duration, condition string, ok func() bool) {
	c.t.Helper()
	for began := time.Now(); time.Since(began) < timeout; time.Sleep(10 * time.Millisecond) {
		if ok() {
			return
		}
	}
	c.t.Fatal("timed out waiting for: " + condition)
}

type response struct {
	status int
	header http.Header
	body   string
	err    error
}

var attemptCounter struct {
	sync.Mutex
	n int
}

func newAttemptID() string {
	attemptCounter.Lock()
	defer attemptCounter.Unlock()
	attemptCounter.n++
	return fmt.Sprintf("r%d", attemptCounter.n)
}

// call sends a request to a node.
func (c *cluster) call(n *runningNode, path, model, key string) response {
	return c.attempt(newAttemptID(), n, path, model, key)
}

func (c *cluster) attempt(id string, n *runningNode, path, model, key string) response {
	return c.attemptBody(id, n, path, model, key, "body of "+id)
}

func (c *cluster) attemptBody(id string, n *runningNode, path, model, key, body string) response {
	req, err := http.NewRequestWithContext(c.t.Context(), http.MethodPost, "http://"+n.settings.CallerAddress+path, strings.NewReader(body))
	if err != nil {
		c.t.Fatal(err)
	}
	req.Host = host
	req.Header.Set("Galenastair-Attempt-Id", id)
	req.Header.Set("Galenastair-Deadline-Ms", "3000")
	req.Header.Set("Authorization", "Bearer "+key)
	if model != "" {
		req.Header.Set("Galenastair-Model", model)
		req.Header.Set("Galenastair-Token-Usage", "100,20")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return response{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return response{resp.StatusCode, resp.Header, string(data), err}
}

const completeStream = "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\nid: 3\ndata: piece 3\n\nid: 4\ndata: piece 4\n\nid: 5\ndata: piece 5\n\nid: 6\ndata: piece 6\n\n"
