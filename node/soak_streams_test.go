package node

import (
	"bufio"
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"galenastair/standin/replica"
)

// maxMixedStreams is the number of streams that may hold events of two software versions.
const maxMixedStreams = 2

// streamSoak has callers break streams off and resume them at other nodes.
type streamSoak struct {
	*soak
	// attempts are the IDs of the attempts of each stream.
	attempts [][]string
	// begun and resumed count the first and the further attempts.
	begun, resumed share
}

// share counts requests and those of them that were served.
type share struct {
	mu       sync.Mutex
	requests []countedRequest
}

// countedRequest is a request at a node from its start to its end.
type countedRequest struct {
	node       int
	start, end time.Time
	served     bool
}

func (s *share) count(node int, start time.Time, served bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests = append(s.requests, countedRequest{node, start, time.Now(), served})
}

// of returns the number of the requests at nodes in touch, and the share of them that was served. It is
// called once the faults have ended.
func (s *share) of(k *soak) (asked int, served float64) {
	n := 0
	for _, r := range s.requests {
		if !k.inTouch(r.node, r.start) || !k.inTouch(r.node, r.end) {
			continue
		}
		asked++
		if r.served {
			n++
		}
	}
	return asked, float64(n) / float64(max(1, asked))
}

func newStreamSoak(t *testing.T, seed uint64) *streamSoak {
	c := newVersionedCluster(t, 4)
	for _, r := range c.replicas {
		r.UpdateFaults(func(f *replica.Faults) { f.EventInterval = 50 * time.Millisecond })
	}
	return &streamSoak{soak: newSoakOf(c, rand.New(rand.NewPCG(seed, 1)))}
}

// callers begins and resumes streams until the context ends.
func (s *streamSoak) callers(ctx context.Context) *sync.WaitGroup {
	var callers sync.WaitGroup
	for range 8 {
		callers.Go(func() {
			for ctx.Err() == nil {
				ids := s.playStream()
				s.mu.Lock()
				if len(ids) > 0 {
					s.attempts = append(s.attempts, ids)
				}
				s.mu.Unlock()
			}
		})
	}
	return &callers
}

// playStream begins a stream, breaks it off after some events and resumes it, up to three times. It
// returns the IDs of its attempts from the one that received the first event.
func (s *streamSoak) playStream() []string {
	first, last := "", 0
	var ids []string
	for range 4 {
		n, id, at := s.pickNode(), newAttemptID(), time.Now()
		req := s.streamRequest(id, n.runningNode)
		if first != "" {
			req.Header.Set("Last-Event-Id", strconv.Itoa(last))
			req.Header.Set("Resumes", first)
		}
		status, event := readEvents(req, 1+rand.IntN(2))
		counted := &s.resumed
		if first == "" {
			counted = &s.begun
		}
		counted.count(n.index, at, status == http.StatusOK)
		if status != http.StatusOK {
			time.Sleep(20 * time.Millisecond)
		}
		if event > 0 && first == "" {
			first = id
		}
		if first != "" {
			ids = append(ids, id)
		}
		last = max(last, event)
	}
	return ids
}

// readEvents sends a request and reads some events. It returns the status and the ID of the last event.
func readEvents(req *http.Request, count int) (status, last int) {
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, 0
	}
	defer resp.Body.Close()
	for lines := bufio.NewScanner(resp.Body); count > 0 && lines.Scan(); {
		if id, ok := strings.CutPrefix(lines.Text(), "id: "); ok && resp.StatusCode == http.StatusOK {
			last, _ = strconv.Atoi(id)
			count--
		}
	}
	return resp.StatusCode, last
}

// check reports streams of two software versions, and streams that are resumed too rarely.
func (s *streamSoak) check() {
	versions := map[string]map[string]bool{}
	for id, r := range s.replicas {
		for _, run := range r.Runs() {
			if versions[run.ID] == nil {
				versions[run.ID] = map[string]bool{}
			}
			versions[run.ID][s.versions[id]] = true
		}
	}
	mixed := 0
	for _, ids := range s.attempts {
		resumed := map[string]bool{}
		for _, id := range ids[1:] {
			maps.Copy(resumed, versions[id])
		}
		// an attempt may run on two versions before its first event
		fits := len(resumed) <= 1
		for v := range resumed {
			fits = fits && versions[ids[0]][v]
		}
		if !fits {
			mixed++
		}
	}
	if mixed > maxMixedStreams {
		s.t.Errorf("%d streams hold events of two software versions", mixed)
	}
	resumes, resumed := s.resumed.of(s.soak)
	begins, begun := s.begun.of(s.soak)
	if len(s.resumed.requests) == 0 || resumes >= 12 && resumed < begun/2 {
		s.t.Errorf("%.2f of %d resumed streams went on, %.2f of the new ones", resumed, resumes, begun)
	}
	s.t.Logf("%d streams, %d of two versions, %.2f of %d resumed, %.2f of %d begun, %d outages, %d restarts",
		len(s.attempts), mixed, resumed, resumes, begun, begins, len(s.outages), len(s.started))
}

// Guards against streams of two software versions, or that can't be resumed, while nodes restart or are
// partitioned and the store fails.
func TestStreamsKeepTheirSoftwareVersionWhileNodesAndStoreFail(t *testing.T) {
	for seed := range uint64(soakSeeds()) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			s := newStreamSoak(t, seed)
			s.runWith(s.callers, s.failNodeOrStore)
			s.check()
		})
	}
}
