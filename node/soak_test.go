package node

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"galenastair/standin/metastore"
	"galenastair/standin/replica"
)

const (
	soakLength = 15 * time.Second
	// inTouchAfter is how long a node must have run, with the store available, for the bound on
	// requests that crash servers to apply.
	inTouchAfter = 3 * time.Second
)

// sentRequest is a request of the soak's callers.
type sentRequest struct {
	node   int
	at     time.Time
	poison bool
}

// leaveNotice is a response that told a node, and its caller, that a server is leaving.
type leaveNotice struct {
	id     string
	server string
	at     time.Time
}

// soakNode is a node with its index among all that were started.
type soakNode struct {
	*runningNode
	index int
}

// arrival is a request that reached a server from a node, which may not be the one that took it.
type arrival struct {
	sentRequest
	id     string
	server string
	at     time.Time
}

// soak sends requests to a cluster while its servers announce things and its nodes and store fail, and
// checks what reached the servers.
type soak struct {
	*cluster
	rng *rand.Rand

	mu      sync.Mutex
	sent    map[string]sentRequest
	notices []leaveNotice
	// running are the nodes that take requests.
	running []soakNode
	started map[int]time.Time
	outages [][2]time.Time
}

func newSoak(t *testing.T, seed uint64) *soak {
	s := newSoakOf(newCluster(t, 3, "e3", "e4", "e5", "e6"), rand.New(rand.NewPCG(seed, 0)))
	for _, r := range s.replicas {
		r.UpdateFaults(func(f *replica.Faults) { f.CrashBody = poisonBody })
	}
	return s
}

// newSoakOf returns a soak of a cluster.
func newSoakOf(c *cluster, rng *rand.Rand) *soak {
	s := &soak{cluster: c, rng: rng, sent: map[string]sentRequest{}, started: map[int]time.Time{}}
	for i, n := range c.nodes {
		s.running = append(s.running, soakNode{n, i})
	}
	return s
}

// pickNode returns a random node that takes requests.
func (s *soak) pickNode() soakNode {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running[rand.IntN(len(s.running))]
}

// request sends one request through a node that takes requests.
func (s *soak) request(path, model, body string) {
	id := newAttemptID()
	s.mu.Lock()
	n := s.running[rand.IntN(len(s.running))]
	s.sent[id] = sentRequest{n.index, time.Now(), body == poisonBody}
	s.mu.Unlock()
	r := s.attemptBody(id, n.runningNode, path, model, key, body)
	if r.header.Get("Server-Leaving") == "" {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	server := strings.TrimPrefix(r.header.Get("Galenastair-Server-Signature"), "sig.")
	s.notices = append(s.notices, leaveNotice{id, server, time.Now()})
}

// callers sends requests until the context ends.
func (s *soak) callers(ctx context.Context) *sync.WaitGroup {
	var callers sync.WaitGroup
	send := func(interval time.Duration, path, model, body string) {
		callers.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				text := body
				if text == "" {
					text = fmt.Sprint(path, n)
				}
				s.request(path, model, text)
				time.Sleep(interval)
			}
		})
	}
	for range 3 {
		send(10*time.Millisecond, "/read/1", "", "")
		send(10*time.Millisecond, "/stream/1", "m1", "")
	}
	send(150*time.Millisecond, "/stream/1", "m1", poisonBody)
	return &callers
}

// injectFault injects one random fault.
func (s *soak) injectFault() {
	engines, apps := []string{"e1", "e2", "e3", "e4", "e5", "e6"}, []string{"p1", "p2"}
	server := engines[s.rng.IntN(len(engines))]
	if s.rng.IntN(3) == 0 {
		server = apps[s.rng.IntN(len(apps))]
	}
	r := s.replicas[server]
	switch s.rng.IntN(5) {
	case 0:
		r.UpdateFaults(func(f *replica.Faults) { f.Leaving = true })
	case 1, 2:
		backoff := 1 + 2*s.rng.Float64()
		r.UpdateFaults(func(f *replica.Faults) { f.Decline, f.RetryAfter = true, backoff })
		time.Sleep(time.Duration(s.rng.IntN(1500)) * time.Millisecond)
		r.UpdateFaults(func(f *replica.Faults) { f.Decline, f.RetryAfter = false, 0 })
	case 3:
		if s.rng.IntN(2) == 0 {
			s.restartNode()
		} else {
			s.stopStore(time.Duration(500+s.rng.IntN(2500)) * time.Millisecond)
		}
	case 4:
		s.partitionNode(time.Duration(1000+s.rng.IntN(3000)) * time.Millisecond)
	}
}

// partitionNode partitions a node from all servers, while the plain ones fail requests.
func (s *soak) partitionNode(d time.Duration) {
	s.mu.Lock()
	n := s.running[s.rng.IntN(len(s.running))]
	s.mu.Unlock()
	setFail := func(fail bool) {
		for _, id := range []string{"p1", "p2"} {
			s.replicas[id].UpdateFaults(func(f *replica.Faults) { f.Fail = fail })
		}
	}
	setFail(true)
	n.links.partition(partitionMode(s.rng.IntN(int(numPartitionModes))))
	time.Sleep(d)
	n.links.heal()
	setFail(false)
}

func (s *soak) stopStore(d time.Duration) {
	began := time.Now()
	s.store.UpdateFaults(func(f *metastore.Faults) { f.Refuse = true })
	time.Sleep(d)
	s.store.UpdateFaults(func(f *metastore.Faults) { f.Refuse = false })
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outages = append(s.outages, [2]time.Time{began, time.Now()})
}

// restartNode replaces a node by a new one.
func (s *soak) restartNode() {
	s.mu.Lock()
	i := s.rng.IntN(len(s.running))
	old := s.running[i]
	s.running = slices.Delete(s.running, i, i+1)
	s.mu.Unlock()
	s.stopNode(old.runningNode)
	began := time.Now()
	n := s.startNode()
	s.mu.Lock()
	defer s.mu.Unlock()
	index := len(s.nodes) - 1
	s.started[index] = began
	s.running = append(s.running, soakNode{n, index})
}

func (s *soak) run() {
	s.runWith(s.callers, s.injectFault)
}

// runWith plays callers and injects faults.
func (s *soak) runWith(callers func(context.Context) *sync.WaitGroup, injectFault func()) {
	ctx, stop := context.WithTimeout(s.t.Context(), soakLength)
	defer stop()
	running := callers(ctx)
	for ctx.Err() == nil {
		time.Sleep(time.Duration(s.rng.IntN(800)) * time.Millisecond)
		injectFault()
	}
	running.Wait()
}

// failNodeOrStore restarts a node, stops the store, or partitions a node from all servers.
func (s *soak) failNodeOrStore() {
	switch s.rng.IntN(3) {
	case 0:
		s.restartNode()
	case 1:
		s.stopStore(time.Duration(500+s.rng.IntN(2500)) * time.Millisecond)
	case 2:
		s.partitionNode(time.Duration(500+s.rng.IntN(1500)) * time.Millisecond)
	}
}

func (s *soak) arrivals() []arrival {
	var out []arrival
	add := func(id, server, source string, at time.Time) {
		a := arrival{s.sent[id], id, server, at}
		a.node = nodeIndex(source)
		out = append(out, a)
	}
	for server, r := range s.replicas {
		for _, run := range r.Runs() {
			add(run.ID, server, run.Source, run.StartedAt)
		}
		for _, d := range r.Declines() {
			add(d.ID, server, d.Source, d.At)
		}
	}
	slices.SortFunc(out, func(a, b arrival) int { return a.at.Compare(b.at) })
	return out
}

// inTouch reports whether a node has run for some time with the store available.
func (s *soak) inTouch(node int, at time.Time) bool {
	if at.Before(s.started[node].Add(inTouchAfter)) {
		return false
	}
	return !slices.ContainsFunc(s.outages, func(o [2]time.Time) bool { return !at.Before(o[0]) && at.Before(o[1].Add(inTouchAfter)) })
}

// checkLeaves reports requests that reached a server from the node that it had told of its leave, after the
// answer had been passed on to a caller.
func (s *soak) checkLeaves(arrivals []arrival) {
	for _, n := range s.notices {
		told := slices.IndexFunc(arrivals, func(a arrival) bool { return a.id == n.id && a.server == n.server })
		if told < 0 {
			s.t.Errorf("the answer of %s to %s has no request", n.server, n.id)
			return
		}
		node := arrivals[told].node
		bound := n.at.Add(s.nodes[node].settings.Bounds.LeaveTimeout)
		for _, a := range arrivals {
			if n.server == a.server && node == a.node && a.sentRequest.at.After(bound) {
				s.t.Errorf("a request reached %s from node %d, sent %v after the bound", a.server, a.node, a.sentRequest.at.Sub(bound))
				return
			}
		}
	}
}

// checkBackoffs reports servers that got more requests from a node than they had asked for.
func (s *soak) checkBackoffs(arrivals []arrival) {
	for id, r := range s.replicas {
		for _, d := range r.Declines() {
			node := nodeIndex(d.Source)
			n := 0
			for _, a := range arrivals {
				if a.server == id && a.node == node && a.at.After(d.At.Add(backoffDelay)) && a.at.Before(d.At.Add(d.Backoff)) {
					n++
				}
			}
			if n > maxBackoffArrivals {
				s.t.Errorf("%s got %d requests from node %d within the %v that it had asked for", id, n, node, d.Backoff)
				return
			}
		}
	}
}

// checkPoison reports a request that is sent on after it has crashed enough servers.
func (s *soak) checkPoison(arrivals []arrival) {
	crashed := map[string]bool{}
	var bound time.Time
	late := 0
	for _, a := range arrivals {
		switch {
		case !a.poison:
		case !bound.IsZero() && a.at.After(bound) && s.inTouch(a.node, a.at):
			late++
		case bound.IsZero():
			crashed[a.server] = true
			if len(crashed) >= poisonThreshold {
				bound = a.at.Add(poisonTimeout)
			}
		}
	}
	if late > maxPoisonSends {
		s.t.Errorf("a request was sent %d times after it had crashed %d servers", late, poisonThreshold)
	}
}

// checkAttempts reports a request that ran on more servers than its route allows.
func (s *soak) checkAttempts() {
	runs := map[string]int{}
	for _, r := range s.replicas {
		for _, run := range r.Runs() {
			runs[run.ID]++
			if runs[run.ID] > routeAttempts {
				s.t.Errorf("request %s ran on more than %d servers", run.ID, routeAttempts)
				return
			}
		}
	}
}

// soakSeeds returns how many seeds are played.
func soakSeeds() int {
	if n, err := strconv.Atoi(os.Getenv("SOAK_SEEDS")); err == nil {
		return n
	}
	return 2
}

// Guards against requests to servers that have announced that they leave or want none, and against requests
// that crash servers or run too often, while nodes restart or are partitioned and the store fails. SOAK_SEEDS sets how many seeds are played.
func TestAnnouncementsHoldWhileNodesAndStoreFail(t *testing.T) {
	for seed := range uint64(soakSeeds()) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			s := newSoak(t, seed)
			s.run()
			arrivals := s.arrivals()
			s.checkLeaves(arrivals)
			s.checkBackoffs(arrivals)
			s.checkPoison(arrivals)
			s.checkAttempts()
			t.Logf("%d requests, %d arrivals, %d leave notices, %d outages, %d restarts", len(s.sent), len(arrivals), len(s.notices), len(s.outages), len(s.started))
		})
	}
}
