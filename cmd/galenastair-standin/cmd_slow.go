package main

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"galenastair"
	"galenastair/platform"
	"galenastair/sockbuf"
	"galenastair/standin/answer"
	"galenastair/standin/replica"
	"galenastair/timer"
)

const (
	slowAnswerBytes = 1 << 20
	// slowReadBytes are read per slowReadInterval: 2 KB/s.
	slowReadBytes    = 500
	slowReadInterval = 250 * time.Millisecond
	// lateReadDelay is how late the backend server reads large bodies.
	lateReadDelay = 5 * time.Second
	// rampTime is the time over which callers come.
	rampTime      = 3 * time.Second
	eventInterval = 500 * time.Millisecond
	// callerSocketBytes keeps unread bytes on the side of the gateway.
	callerSocketBytes = 8 << 10
)

// slowLoad is a backend server and callers that read and send slowly, around a gateway.
type slowLoad struct {
	entry, key, host string
	pid              int
	backendAddress   string
	duration         time.Duration
	deadline         time.Duration
	readers, senders int
	streams          int
	perSecond        float64

	answer       []byte
	answerDigest string
	slowUntil    time.Time
	id           atomic.Int64
	backendRuns  sync.Map
	repeatedRuns atomic.Int64

	mu        sync.Mutex
	outcomes  map[string]map[string]int
	latencies []time.Duration
}

// runSlow runs a backend server, registers it with the metadata store, and calls the gateway with
// ordinary load beside callers that read answers slowly, send large bodies to a server that reads them
// late, and follow slow streams. It reports the memory of the gateway's process and what callers got.
func runSlow(ctx context.Context, args []string) error {
	f := flag.NewFlagSet("slow", flag.ContinueOnError)
	s := &slowLoad{outcomes: map[string]map[string]int{}}
	f.StringVar(&s.entry, "entry", "", "address of the gateway")
	f.StringVar(&s.key, "key", "", "key of the callers")
	f.StringVar(&s.host, "host", "a.example", "host of the routes")
	f.IntVar(&s.pid, "pid", 0, "process ID of the gateway")
	f.DurationVar(&s.duration, "duration", 20*time.Second, "time for which callers are slow")
	f.DurationVar(&s.deadline, "deadline", 40*time.Second, "deadline of slow callers")
	f.IntVar(&s.readers, "readers", 800, "callers that read answers of 1 MB at 2 KB/s")
	f.IntVar(&s.senders, "senders", 400, "callers that send bodies of 1 MB to a server that reads them 5 s late")
	f.IntVar(&s.streams, "streams", 1000, "callers of streams with one event per 0.5 s")
	f.Float64Var(&s.perSecond, "rate", 100, "ordinary requests per second")
	store := f.String("store", "", "address of the metadata store")
	address := f.String("listen", "127.0.0.1:0", "address of the backend server")
	service := f.String("service", "app", "service of the backend server")
	maxMB := f.Float64("max-mb", 0, "memory of the gateway above which the run fails; 0 for none")
	maxP99 := f.Duration("max-p99", 0, "99th percentile of ordinary requests above which the run fails; 0 for none")
	if err := f.Parse(args); err != nil {
		return err
	}
	s.answer = bytes.Repeat([]byte("0123456789abcdef"), slowAnswerBytes/16)
	s.answerDigest = digest(s.answer)
	l, err := listen(*address)
	if err != nil {
		return err
	}
	s.backendAddress = l.Addr().String()
	r := replica.New(replica.Settings{ID: "slow-1", Service: *service, Zone: "zone-a", Address: l.Addr().String(), Slots: 10000, EventsPerStream: 1})
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go registerPeriodically(ctx, r, *store, "slow-1")
	served := make(chan error, 1)
	server := newServer(http.HandlerFunc(s.serveBackend))
	go func() { served <- server.Serve(l) }()
	peak := s.play(ctx)
	cancel()
	_ = server.Close()
	return errors.Join(ignoreShutdownError(<-served), s.report(peak, *maxMB, *maxP99))
}

func digest(p []byte) string {
	h := sha256.Sum256(p)
	return hex.EncodeToString(h[:])
}

func (s *slowLoad) serveBackend(w http.ResponseWriter, req *http.Request) {
	id := platform.DecodeCallerRequest(req.Header).ID
	if _, again := s.backendRuns.LoadOrStore(id, true); again {
		s.repeatedRuns.Add(1)
	}
	answer.SetHeader(w.Header(), id, "sig.slow")
	switch {
	case strings.HasPrefix(req.URL.Path, "/bids/"):
		time.Sleep(lateReadDelay)
		body, err := io.ReadAll(req.Body)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, digest(body))
	case strings.HasPrefix(req.URL.Path, "/drafts/"):
		w.Header().Set("Content-Type", "text/event-stream")
		out := http.NewResponseController(w)
		for n := 1; time.Now().Before(s.slowUntil); n++ {
			fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", n, n)
			if out.Flush() != nil || !timer.Wait(req.Context(), eventInterval) {
				return
			}
		}
		_, _ = io.WriteString(w, "id: last\ndata: end\n\n")
	case strings.HasPrefix(req.URL.Path, "/reads/big"):
		w.Header().Set("Content-Length", strconv.Itoa(len(s.answer)))
		_, _ = w.Write(s.answer)
	default:
		_, _ = w.Write(s.answer[:1000])
	}
}

// play runs the load and returns the peak of the gateway's memory.
func (s *slowLoad) play(ctx context.Context) memory {
	for ctx.Err() == nil && s.ordinary(ctx) != "200" {
		time.Sleep(100 * time.Millisecond)
	}
	s.mu.Lock()
	s.latencies, s.outcomes = nil, map[string]map[string]int{}
	s.mu.Unlock()
	fmt.Printf("before: %s\n", s.readMemory())
	s.slowUntil = time.Now().Add(s.duration)
	cpu := s.processorTime()
	var g sync.WaitGroup
	rng := rand.New(rand.NewPCG(1, 1))
	spawn := func(n int, kind string, call func() string) {
		for range n {
			wait := time.Duration(rng.Int64N(int64(rampTime)))
			g.Go(func() {
				time.Sleep(wait)
				s.count(kind, call())
			})
		}
	}
	spawn(s.readers, "reader", s.slowReader)
	spawn(s.senders, "sender", s.sender)
	spawn(s.streams, "stream", s.stream)
	var peak memory
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		for n := 0; time.Now().Before(s.slowUntil); n++ {
			m := s.readMemory()
			if m.total() > peak.total() {
				peak = m
			}
			if n%10 == 0 {
				fmt.Printf("after %s: %s\n", (s.duration - time.Until(s.slowUntil)).Round(100*time.Millisecond), m)
			}
			time.Sleep(200 * time.Millisecond)
		}
	}()
	for next := time.Now(); time.Now().Before(s.slowUntil); {
		g.Go(func() { s.count("ordinary", s.ordinary(ctx)) })
		next = next.Add(time.Duration(float64(time.Second) / s.perSecond))
		time.Sleep(time.Until(next))
	}
	<-watched
	fmt.Printf("processor: %.2f cores\n", (s.processorTime()-cpu).Seconds()/s.duration.Seconds())
	g.Wait()
	return peak
}

func (s *slowLoad) count(kind, outcome string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.outcomes[kind] == nil {
		s.outcomes[kind] = map[string]int{}
	}
	s.outcomes[kind][outcome]++
}

// send opens a connection and sends a request.
func (s *slowLoad) send(method, path string, body []byte, deadline time.Duration) (net.Conn, error) {
	dialer := net.Dialer{Control: sockbuf.Control(callerSocketBytes)}
	c, err := dialer.Dial("tcp", s.entry)
	if err != nil {
		return nil, err
	}
	_ = c.SetDeadline(time.Now().Add(deadline + s.duration))
	header := http.Header{"Content-Length": {strconv.Itoa(len(body))}, "Connection": {"close"}}
	platform.EncodeCallerRequest(header, platform.CallerRequest{
		ID: galenastair.RequestID(fmt.Sprintf("slow-%d", s.id.Add(1))), Key: s.key, Timeout: deadline,
	})
	var head bytes.Buffer
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\n", method, path, s.host)
	_ = header.Write(&head)
	head.WriteString("\r\n")
	// a response may come before the whole body has been sent
	if _, err := c.Write(append(head.Bytes(), body...)); err != nil && len(body) == 0 {
		c.Close()
		return nil, err
	}
	return c, nil
}

func (s *slowLoad) ordinary(context.Context) string {
	begun := time.Now()
	c, err := s.send("GET", "/reads/1", nil, 2*time.Second)
	if err != nil {
		return "no connection"
	}
	defer c.Close()
	status, data, err := readAnswer(c)
	s.mu.Lock()
	s.latencies = append(s.latencies, time.Since(begun))
	s.mu.Unlock()
	if status == "200" && (err != nil || len(data) != 1000) {
		return "cut off"
	}
	return status
}

func readAnswer(r io.Reader) (status string, data []byte, err error) {
	resp, err := http.ReadResponse(bufio.NewReaderSize(r, 512), nil)
	if err != nil {
		return "no answer", nil, err
	}
	defer resp.Body.Close()
	data, err = io.ReadAll(resp.Body)
	return strconv.Itoa(resp.StatusCode), data, err
}

// slowConn reads at 2 KB/s while the load is slow.
type slowConn struct {
	net.Conn
	until time.Time
}

func (c slowConn) Read(p []byte) (int, error) {
	if time.Now().After(c.until) {
		return c.Conn.Read(p)
	}
	time.Sleep(slowReadInterval)
	return c.Conn.Read(p[:min(len(p), slowReadBytes)])
}

func (s *slowLoad) slowReader() string {
	c, err := s.send("GET", "/reads/big", nil, s.deadline)
	if err != nil {
		return "no connection"
	}
	defer c.Close()
	status, data, err := readAnswer(slowConn{c, s.slowUntil})
	switch {
	case status != "200":
		return status
	case err != nil:
		return "cut off"
	case digest(data) != s.answerDigest:
		return "WRONG ANSWER"
	}
	return "whole"
}

func (s *slowLoad) sender() string {
	c, err := s.send("POST", "/bids/late", s.answer, s.deadline)
	if err != nil {
		return "no connection"
	}
	defer c.Close()
	status, data, err := readAnswer(c)
	switch {
	case status != "200":
		return status
	case err != nil:
		return "cut off"
	case string(data) != s.answerDigest:
		return "WRONG ANSWER"
	}
	return "whole"
}

func (s *slowLoad) stream() string {
	c, err := s.send("POST", "/drafts/slow", []byte("x"), s.deadline)
	if err != nil {
		return "no connection"
	}
	defer c.Close()
	status, data, err := readAnswer(c)
	if status != "200" {
		return status
	}
	n := 0
	for line := range strings.Lines(string(data)) {
		if id, ok := strings.CutPrefix(strings.TrimSpace(line), "id: "); ok && id != "last" {
			n++
			if id != strconv.Itoa(n) {
				return "WRONG EVENT"
			}
		}
	}
	switch {
	case err != nil:
		return "cut off"
	case !strings.HasSuffix(string(data), "id: last\ndata: end\n\n"):
		return "WRONG END"
	}
	return "whole"
}

var errSlowLoad = errors.New("the gateway did not keep its bounds under slow load")

func (s *slowLoad) report(peak memory, maxMB float64, maxP99 time.Duration) error {
	slices.Sort(s.latencies)
	p99 := s.latencies[len(s.latencies)*99/100]
	fmt.Printf("peak: %s\nordinary: n=%d p50=%s p99=%s\n", peak, len(s.latencies), s.latencies[len(s.latencies)/2].Round(100*time.Microsecond), p99.Round(100*time.Microsecond))
	wrong := int(s.repeatedRuns.Load())
	for _, kind := range []string{"ordinary", "reader", "sender", "stream"} {
		fmt.Printf("%s: %v\n", kind, s.outcomes[kind])
		for outcome, n := range s.outcomes[kind] {
			if strings.HasPrefix(outcome, "WRONG") {
				wrong += n
			}
		}
	}
	fmt.Printf("requests that ran twice: %d\n", s.repeatedRuns.Load())
	if wrong > 0 || maxMB > 0 && float64(peak.total()) > maxMB*1e6 || maxP99 > 0 && p99 > maxP99 {
		return errSlowLoad
	}
	return nil
}
