package replica

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gorilla/mux"
)

// Faults are the faults to inject. They can be changed while the replica runs.
type Faults struct {
	// Decline responds 503 with the header that states that the request was not executed.
	Decline bool
	// Fail executes the request and responds 500.
	Fail bool
	// CutAfter closes the connection of a stream after this many events, in the middle of
	// the next one; 0 disables it.
	CutAfter int
	// Hang executes the request and never responds.
	Hang bool
	// CloseConnection executes the request and closes its connection without a response.
	CloseConnection bool
	// DropOrderResponses executes orders and closes the connection without a response.
	DropOrderResponses bool
	// EventInterval is the delay after each event.
	EventInterval time.Duration
	// CloseDelimited sends responses with neither a length nor chunks; they end with their connection.
	CloseDelimited bool
	// SendLength sends the length of a body of pieces.
	SendLength bool
	// CrashBody breaks off the response to each request with this body after the header; empty
	// disables it.
	CrashBody string
	// CrashPart crashes the replica when it answers a request that has this part in its prompt, but not as
	// the last; empty disables it.
	CrashPart string
	// CrashAfter is the number of events that are sent before such a crash. If the stream is shorter, or its
	// caller leaves, the replica crashes after its end.
	CrashAfter int
	// Crash ends the process of the replica. If it is nil, the response is broken off, and the replica
	// continues as another process of the same ID.
	Crash func()
	// Leaving adds the header Server-Leaving to all responses. The registration stays as it is.
	Leaving bool
	// RetryAfter is the time in seconds that responses to declined requests carry in the header
	// Retry-After; 0 omits the header.
	RetryAfter float64
	// ServerLimit is the rate in requests per second that responses carry in the header
	// Server-Limit; 0 omits the header.
	ServerLimit float64
	// DeclineLimit is the number of requests that the replica may decline in a second, as responses
	// carry it in the header Server-Brittle; 0 omits the header.
	DeclineLimit float64
	// WorkTime is how long a response without pieces takes. As many requests are executed at once as the
	// replica has slots.
	WorkTime time.Duration
	// MaxInFlight is the number of requests that are executed or wait for a slot, beyond which requests
	// are declined; 0 for any number.
	MaxInFlight int
}

// Run is one execution of a request.
type Run struct {
	ID         string
	RequestURI string
	Tenant     string
	Body       string
	// PromptPrefix lists the parts of the prompt.
	PromptPrefix string
	LastEventID  string
	// HasKey is set if the request had an Authorization header.
	HasKey bool
	// Source is the host that sent the request.
	Source string
	// StartedAt is the start of the execution.
	StartedAt time.Time
	// Canceled is set if the client closed the connection before the end.
	Canceled bool
}

// Decline is a request that was not executed.
type Decline struct {
	ID string
	At time.Time
	// Backoff is the time that the response named in Retry-After; 0 if it named none.
	Backoff time.Duration
	// Source is the host that sent the request.
	Source string
}

// Settings configures a Replica.
type Settings struct {
	ID      string
	Service string
	Address string
	Zone    string
	// Version is the version of the software; "v1" if it is empty.
	Version string
	Slots   int
	// MaxModels and MaxAdapters are the capacity. A replica with MaxModels 0 is a plain
	// service: its registration lists no models.
	MaxModels   int
	MaxAdapters int
	Models      []string
	// EventsPerStream is the number of events of a stream.
	EventsPerStream int
	// Label is added to each piece of a response, with the number of the run and the ID of the request.
	// With it, responses of a plain service consist of pieces, too.
	Label string
	// PaddingBytes is the length of the padding of pieces that have a label.
	PaddingBytes int
	// StartedAtMillis is the Unix time at which the replica started; now if it is 0.
	StartedAtMillis int64
}

// Replica is a fake backend server.
type Replica struct {
	settings        Settings
	startedAtMillis int64

	mu                   sync.Mutex
	faults               Faults
	models               map[string]map[string]bool
	sequence             int64
	registrationSequence int64
	draining             bool
	endsAt               time.Time
	fence                int64
	crashReason          string
	runs                 []*Run
	declines             []Decline
	inFlight             int
	slots                chan struct{}
}

// New returns a replica with the models of the settings loaded.
func New(s Settings) *Replica {
	if s.Version == "" {
		s.Version = "v1"
	}
	if s.StartedAtMillis == 0 {
		s.StartedAtMillis = time.Now().UnixMilli()
	}
	r := &Replica{settings: s, startedAtMillis: s.StartedAtMillis, models: map[string]map[string]bool{}, slots: make(chan struct{}, max(1, s.Slots))}
	for _, m := range s.Models {
		r.models[m] = map[string]bool{}
	}
	return r
}

// UpdateFaults changes the injected faults.
func (r *Replica) UpdateFaults(f func(*Faults)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(&r.faults)
}

// Drain makes later registrations carry the state draining.
func (r *Replica) Drain() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.draining = true
}

// EndAfter makes later registrations carry the state draining and the time that is left. When it has
// elapsed, the replica breaks off all responses and executes no more requests.
func (r *Replica) EndAfter(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.draining, r.endsAt = true, time.Now().Add(d)
}

// hasEnded reports whether the time of EndAfter has elapsed.
func (r *Replica) hasEnded() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.endsAt.IsZero() && !time.Now().Before(r.endsAt)
}

// Runs returns the requests that the replica has executed.
func (r *Replica) Runs() []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]Run, 0, len(r.runs))
	for _, run := range r.runs {
		out = append(out, *run)
	}
	return out
}

// Declines returns the requests that the replica declined because of Faults.Decline.
func (r *Replica) Declines() []Decline {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.declines)
}

// CrashReason returns the reason for which an order would have crashed a real server, or
// "" if none would have.
func (r *Replica) CrashReason() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.crashReason
}

// Handler returns the replica's HTTP handler.
func (r *Replica) Handler() http.Handler {
	m := mux.NewRouter().UseEncodedPath().SkipClean(true)
	m.Methods(http.MethodPost).Path("/v1/order").HandlerFunc(r.postOrder)
	m.Methods(http.MethodGet).Path("/v1/report").HandlerFunc(r.getReport)
	m.PathPrefix("/").HandlerFunc(r.serve)
	return m
}

// rejectMisdirected responds 421 to a request that expects another instance, and reports
// whether it did.
func (r *Replica) rejectMisdirected(w http.ResponseWriter, req *http.Request) bool {
	expect := req.Header.Get("Galenastair-Expect-Instance")
	if expect == "" || expect == r.settings.ID {
		return false
	}
	w.Header().Set("Galenastair-Instance-Id", r.settings.ID)
	w.WriteHeader(http.StatusMisdirectedRequest)
	return true
}

func (r *Replica) isLoaded(name string) bool {
	if name == "" {
		return true
	}
	model, adapter, _ := strings.Cut(name, "/")
	held, ok := r.models[model]
	return ok && (adapter == "" || held[adapter])
}

func (r *Replica) serve(w http.ResponseWriter, req *http.Request) {
	if r.hasEnded() {
		panic(http.ErrAbortHandler)
	}
	if id := req.Header.Get("Galenastair-Attempt-Id"); id != "" {
		w.Header().Set("Galenastair-Attempt-Id", id)
	}
	if r.rejectMisdirected(w, req) {
		return
	}
	body := make([]byte, max(0, req.ContentLength))
	n, _ := req.Body.Read(body)
	model := req.Header.Get("Galenastair-Model")
	r.mu.Lock()
	faults := r.faults
	if faults.ServerLimit > 0 {
		w.Header().Set("Server-Limit", strconv.FormatFloat(faults.ServerLimit, 'f', -1, 64))
	}
	if faults.DeclineLimit > 0 {
		w.Header().Set("Server-Brittle", strconv.FormatFloat(faults.DeclineLimit, 'f', -1, 64))
	}
	if faults.Leaving {
		w.Header().Set("Server-Leaving", "1")
	}
	declines := faults.Decline || faults.MaxInFlight > 0 && r.inFlight >= faults.MaxInFlight
	if !r.isLoaded(model) || declines {
		missing := !declines
		if declines {
			backoff := time.Duration(faults.RetryAfter * float64(time.Second))
			r.declines = append(r.declines, Decline{req.Header.Get("Galenastair-Attempt-Id"), time.Now(), backoff, source(req)})
		}
		r.mu.Unlock()
		w.Header().Set("Galenastair-Not-Executed", "1")
		if missing {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		if faults.RetryAfter > 0 {
			w.Header().Set("Retry-After", strconv.FormatFloat(faults.RetryAfter, 'f', -1, 64))
		}
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	run := &Run{
		ID:           req.Header.Get("Galenastair-Attempt-Id"),
		RequestURI:   req.RequestURI,
		Tenant:       req.Header.Get("Galenastair-Tenant"),
		Body:         string(body[:n]),
		PromptPrefix: req.Header.Get("Galenastair-Prompt-Prefix"),
		LastEventID:  req.Header.Get("Last-Event-Id"),
		HasKey:       req.Header.Get("Authorization") != "",
		Source:       source(req),
		StartedAt:    time.Now(),
	}
	r.runs = append(r.runs, run)
	r.inFlight++
	defer r.leave()
	number := len(r.runs)
	crashes := run.hasPart(faults.CrashPart)
	r.mu.Unlock()
	w.Header().Set("Galenastair-Server-Signature", "sig."+r.settings.ID)
	if faults.CloseDelimited {
		// net/http then omits the chunks
		w.Header().Set("Transfer-Encoding", "identity")
	}
	switch {
	case faults.CrashBody != "" && faults.CrashBody == run.Body, crashes && faults.CrashAfter == 0:
		w.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(w).Flush()
		if crashes {
			r.crash(faults)
		}
		panic(http.ErrAbortHandler)
	case faults.Hang:
		<-req.Context().Done()
		r.markCanceled(run)
	case faults.CloseConnection:
		panic(http.ErrAbortHandler)
	case faults.Fail:
		w.WriteHeader(http.StatusInternalServerError)
	case model != "" || r.settings.Label != "":
		r.stream(w, req, run, number, faults, crashes)
	default:
		r.work(faults.WorkTime)
		fmt.Fprintf(w, "answer of %s to %s", r.settings.ID, req.RequestURI)
	}
}

func (r *Replica) leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inFlight--
}

// work executes a request once there is a slot.
func (r *Replica) work(d time.Duration) {
	if d == 0 {
		return
	}
	r.slots <- struct{}{}
	time.Sleep(d)
	<-r.slots
}

// crash ends the process of the replica, or has it continue as another one.
func (r *Replica) crash(faults Faults) {
	if faults.Crash != nil {
		faults.Crash()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.startedAtMillis, r.registrationSequence = time.Now().UnixMilli(), 0
}

// crashAfterEnd is the time from the end of a stream that is too short for CrashAfter to the crash.
const crashAfterEnd = 10 * time.Millisecond

// hasPart reports whether the prompt has a part in any place but the last.
func (r *Run) hasPart(part string) bool {
	parts := strings.Split(r.PromptPrefix, ",")
	return part != "" && slices.ContainsFunc(parts[:len(parts)-1], func(p string) bool { return strings.HasPrefix(p, part+":") })
}

func source(req *http.Request) string {
	host, _, _ := net.SplitHostPort(req.RemoteAddr)
	return host
}

func (r *Replica) markCanceled(run *Run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	run.Canceled = true
}

// piece returns one event of the response to a run.
func (r *Replica) piece(n int, run *Run, number int) string {
	if r.settings.Label == "" {
		return fmt.Sprintf("id: %d\ndata: piece %d\n\n", n, n)
	}
	return fmt.Sprintf("id: %d\ndata: piece %d of %s/%d for %s %s\n\n", n, n, r.settings.Label, number, run.ID, strings.Repeat(".", r.settings.PaddingBytes))
}

func (r *Replica) stream(w http.ResponseWriter, req *http.Request, run *Run, number int, faults Faults, crashes bool) {
	w.Header().Set("Content-Type", "text/event-stream")
	first, _ := strconv.Atoi(run.LastEventID)
	if faults.SendLength {
		length := 0
		for n := first + 1; n <= r.settings.EventsPerStream; n++ {
			length += len(r.piece(n, run, number))
		}
		w.Header().Set("Content-Length", strconv.Itoa(length))
	}
	flusher := http.NewResponseController(w)
	for n := first + 1; n <= r.settings.EventsPerStream; n++ {
		if crashes && n-first > faults.CrashAfter {
			r.crash(faults)
			panic(http.ErrAbortHandler)
		}
		if faults.CutAfter > 0 && n-first > faults.CutAfter {
			fmt.Fprintf(w, "id: %d\nda", n)
			_ = flusher.Flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = w.Write([]byte(r.piece(n, run, number)))
		_ = flusher.Flush()
		select {
		case <-req.Context().Done():
			r.markCanceled(run)
			if crashes {
				r.crash(faults)
			}
			return
		case <-time.After(faults.EventInterval):
		}
		if r.hasEnded() {
			panic(http.ErrAbortHandler)
		}
	}
	if crashes {
		time.AfterFunc(crashAfterEnd, func() { r.crash(faults) })
	}
}
