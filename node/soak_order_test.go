package node

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"galenastair/standin/replica"
)

const (
	// piecesPerBody is the number of pieces of a whole body.
	piecesPerBody = 10
	pieceInterval = 40 * time.Millisecond
	// overlappingFaults is the number of faults at the same time.
	overlappingFaults = 3
	clockFormat       = "05.000"
)

// orderSoak stops, kills and restarts the processes of nodes and servers, while callers read bodies whose
// pieces name the run that made them.
type orderSoak struct {
	*soak
	nodeProcesses []*faultyProcess
	servers       []*faultyProcess
	injected      int
	faults        sync.WaitGroup
	slots         chan struct{}
	// outcomes and wrong count responses; mixed counts streams of two software versions.
	outcomes map[string]int
	wrong    map[string]int
	mixed    int
}

// faultyProcess is a process with at most one fault at a time.
type faultyProcess struct {
	sync.Mutex
	node   *nodeProcess
	server *replicaProcess
}

// id returns the ID of the node or server, and that of its process.
func (p *faultyProcess) id() (string, int) {
	if p.node != nil {
		return string(p.node.settings.ID), p.node.command.Process.Pid
	}
	return p.server.settings.ID, p.server.command.Process.Pid
}

func newOrderSoak(t *testing.T, seed uint64) *orderSoak {
	c := newCluster(t, 0)
	for _, id := range []string{"e1", "e2", "p1", "p2"} {
		c.removeReplica(id)
	}
	s := &orderSoak{soak: newSoakOf(c, rand.New(rand.NewPCG(seed, 5))), slots: make(chan struct{}, overlappingFaults),
		outcomes: map[string]int{}, wrong: map[string]int{}}
	for i := range 9 {
		settings := processReplicaSettings{EventInterval: pieceInterval, Settings: replica.Settings{
			ID: fmt.Sprint("s", i), Version: []string{"v1", "v1", "v2"}[i%3], EventsPerStream: piecesPerBody, Label: "set",
		}}
		if i >= 6 {
			settings.Service, settings.PaddingBytes = "app", []int{10, 60 << 10, 60 << 10}[i%3]
		}
		s.setFraming(&settings)
		s.servers = append(s.servers, &faultyProcess{server: c.startReplica(settings)})
	}
	for i, p := range c.startProcesses(4) {
		s.running = append(s.running, soakNode{p.runningNode, i})
		s.nodeProcesses = append(s.nodeProcesses, &faultyProcess{node: p})
		c.waitFor("a response", func() bool {
			return c.call(p.runningNode, "/read/1", "", key).status == 200 && c.call(p.runningNode, "/stream/1", "m1", key).status == 200
		})
	}
	return s
}

// setFraming draws how the responses of a server end.
func (s *orderSoak) setFraming(settings *processReplicaSettings) {
	n := s.rng.IntN(6)
	settings.CloseDelimited, settings.SendLength, settings.CloseEach = n < 2, n == 2, n == 3
}

// injectFault has one random fault begin, as soon as fewer than overlappingFaults go on.
func (s *orderSoak) injectFault() {
	s.slots <- struct{}{}
	s.injected++
	p := s.servers[s.rng.IntN(len(s.servers))]
	kind, d := s.rng.IntN(7), time.Duration(s.rng.IntN(1200))*time.Millisecond
	if s.rng.IntN(3) == 0 {
		p = s.nodeProcesses[s.rng.IntN(len(s.nodeProcesses))]
	}
	renamed, upgraded, sig := s.rng.IntN(2) == 0, s.rng.IntN(4) == 0, syscall.SIGKILL
	if s.rng.IntN(4) == 0 {
		sig = syscall.SIGTERM
	}
	var framing processReplicaSettings
	s.setFraming(&framing)
	s.faults.Go(func() {
		defer func() { <-s.slots }()
		if kind == 0 {
			s.stopStore(d)
			return
		}
		p.Lock()
		defer p.Unlock()
		id, pid := p.id()
		began := time.Now()
		defer func() {
			s.t.Logf("%s to %s: %s/%d, kind %d, %v, renamed %t, upgraded %t", began.Format(clockFormat), time.Now().Format(clockFormat), id, pid, kind, sig, renamed, upgraded)
		}()
		switch {
		case kind == 1:
			_ = syscall.Kill(pid, syscall.SIGSTOP)
			time.Sleep(d)
			_ = syscall.Kill(pid, syscall.SIGCONT)
		case p.node != nil:
			_ = p.node.command.Process.Signal(sig)
			_ = p.node.command.Wait()
			time.Sleep(d)
			p.node.start()
		case kind == 2:
			_ = syscall.Kill(pid, syscall.SIGUSR1)
		default:
			p.server.stop(sig)
			time.Sleep(d)
			n := &p.server.settings
			n.CloseDelimited, n.SendLength, n.CloseEach = framing.CloseDelimited, framing.SendLength, framing.CloseEach
			if upgraded {
				n.Version = map[string]string{"v1": "v2", "v2": "v1"}[n.Version]
			}
			if renamed || upgraded {
				s.removeReplica(n.ID)
				n.ID += "r"
			}
			p.server.start()
		}
	})
}

// piece is one piece of a body as it names itself.
type piece struct {
	number       int
	run, version string
	attempt      string
}

var pieceFormat = regexp.MustCompile(`^id: (\d+)\ndata: piece (\d+) of (\S+@(v\d)\S+) for (\S+) \.*\n\n$`)

// pieces is what a caller has got of one body, over all its tries.
type pieces struct {
	resumable bool
	last      int
	run       string
	versions  map[string]bool
}

// add returns what is wrong with the next piece, or "".
func (b *pieces) add(text []byte, attempt string) string {
	m := pieceFormat.FindStringSubmatch(string(text))
	if m == nil {
		return "bytes that are no piece"
	}
	n, _ := strconv.Atoi(m[1])
	p := piece{n, m[3], m[4], m[5]}
	b.versions[p.version] = true
	switch {
	case p.attempt != attempt:
		return "a piece of another request"
	case p.number <= b.last:
		return "a number that goes back"
	case p.number > b.last+1:
		return "a gap"
	case !b.resumable && b.run != "" && b.run != p.run:
		return "pieces of two runs"
	}
	b.last, b.run = p.number, p.run
	return ""
}

// read reads pieces until the end of a response, or at most limit pieces. It returns what is wrong with
// them, or "", and whether the response was complete.
func (b *pieces) read(resp *http.Response, attempt string, limit int) (wrong string, complete bool) {
	lines := bufio.NewReader(resp.Body)
	var text []byte
	signed := false
	for limit > 0 {
		line, err := lines.ReadSlice('\n')
		for errors.Is(err, bufio.ErrBufferFull) {
			text = append(text, line...)
			line, err = lines.ReadSlice('\n')
		}
		text = append(text, line...)
		switch {
		case errors.Is(err, io.EOF):
			if len(text) > 0 || b.last < piecesPerBody {
				return fmt.Sprintf("complete after piece %d", b.last), true
			}
			return "", true
		case err != nil:
			return "", false
		case bytes.HasSuffix(text, []byte("\n\n")):
			if wrong := b.add(text, attempt); wrong != "" {
				return wrong, false
			}
			if signer := strings.TrimPrefix(resp.Header.Get("Galenastair-Server-Signature"), "sig."); !signed && !strings.HasPrefix(b.run, signer+"@") {
				return "the signature of another server: " + signer, false
			}
			text, signed = text[:0], true
			limit--
		}
	}
	return "", false
}

// callers read bodies of each route until the context ends.
func (s *orderSoak) callers(ctx context.Context) *sync.WaitGroup {
	var callers sync.WaitGroup
	for i, path := range []string{"/stream/1", "/stream/1", "/stream/1", "/once-stream/1", "/once-stream/1", "/read/1", "/bid/1"} {
		for range 4 {
			callers.Go(func() {
				for ctx.Err() == nil {
					s.readBody(path, i < 3)
				}
			})
		}
	}
	return &callers
}

// readBody reads one body. A resumable stream is taken up again at other nodes.
func (s *orderSoak) readBody(path string, resumable bool) {
	b := &pieces{resumable: resumable, versions: map[string]bool{}}
	first, log := "", ""
	for try := 0; try < 5 && (try == 0 || resumable) && b.last < piecesPerBody; try++ {
		n, attempt, limit := s.pickNode(), newAttemptID(), 1000
		if resumable && rand.IntN(2) == 0 {
			limit = 1 + rand.IntN(piecesPerBody-1)
		}
		req := s.streamRequest(attempt, n.runningNode)
		req.URL.Path = path
		if path == "/read/1" || path == "/bid/1" {
			req.Header.Del("Galenastair-Model")
		}
		if first != "" {
			req.Header.Set("Last-Event-Id", strconv.Itoa(b.last))
			req.Header.Set("Resumes", first)
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			s.count(path, "no response")
			time.Sleep(20 * time.Millisecond)
			continue
		}
		if resp.StatusCode != http.StatusOK {
			resp.Body.Close()
			s.count(path, resp.Status[:3])
			time.Sleep(20 * time.Millisecond)
			continue
		}
		before, began := b.last, time.Now()
		wrong, complete := b.read(resp, attempt, limit)
		resp.Body.Close()
		if b.last > 0 && first == "" {
			first = attempt
		}
		log += fmt.Sprintf("; %s at %s, head %s, end %s: %d to %d, %s, complete %t, %v", attempt, n.settings.ID, began.Format(clockFormat), time.Now().Format(clockFormat),
			before, b.last, b.run, complete, resp.TransferEncoding)
		s.count(path, map[bool]string{true: "complete", false: "broken off"}[complete])
		if wrong != "" {
			s.mu.Lock()
			s.wrong[wrong]++
			s.t.Errorf("%s: %s%s", path, wrong, log)
			s.mu.Unlock()
			return
		}
	}
	if len(b.versions) > 1 {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.mixed++
		s.t.Logf("two versions: %s%s", path, log)
	}
}

func (s *orderSoak) count(path, outcome string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outcomes[path+" "+outcome]++
}

// Guards against bodies out of order, of two runs or versions, or short but framed as whole, while processes fail and restart.
func TestBodiesStayInOrderWhileNodesAndStoreFail(t *testing.T) {
	for seed := range uint64(soakSeeds()) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			s := newOrderSoak(t, seed)
			s.runWith(s.callers, s.injectFault)
			s.faults.Wait()
			if s.mixed > maxMixedStreams {
				t.Errorf("%d streams hold pieces of two software versions", s.mixed)
			}
			t.Logf("%d faults, %d mixed, wrong %v, %v", s.injected, s.mixed, s.wrong, s.outcomes)
		})
	}
}
