package replica

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gorilla/mux"
)

// Switches are what a test changes while the replica runs.
type Switches struct {
	// Decline answers 503 with the word that nothing ran.
	Decline bool
	// Fail answers 500.
	Fail bool
	// CutAfter cuts a stream after so many events, in the middle of the next; 0 is never.
	CutAfter int
	// Hang runs the request and never answers.
	Hang bool
	// Die closes the connection of a request that it runs, without an answer.
	Die bool
	// LoseOrders takes orders and gives no answer.
	LoseOrders bool
	// EventGap passes between two events.
	EventGap time.Duration
	// Limit is the requests a second that it names in its answers; 0 names none.
	Limit float64
}

// Run is one request that the replica ran.
type Run struct {
	ID     string
	Target string
	Tenant string
	Body   string
	After  string
	// Key says that a caller's key came with it.
	Key bool
	// At is when it began.
	At time.Time
	// Left says that the caller's side closed the connection before the end.
	Left bool
}

// Settings say what a replica is.
type Settings struct {
	ID      string
	Service string
	Address string
	Zone    string
	Slots   int
	// Places is how many models, and adapters, it holds; 0 is a plain service.
	Places   int
	Adapters int
	Models   []string
	// Events is how many a stream has.
	Events int
}

// Replica is the stand-in.
type Replica struct {
	settings Settings
	born     int64

	mu       sync.Mutex
	switches Switches
	models   map[string]map[string]bool
	sequence int64
	beat     int64
	draining bool
	fence    int64
	crashed  string
	runs     []*Run
}

// New returns a replica.
func New(s Settings) *Replica {
	r := &Replica{settings: s, born: time.Now().UnixMilli(), models: map[string]map[string]bool{}}
	for _, m := range s.Models {
		r.models[m] = map[string]bool{}
	}
	return r
}

// Switch changes the switches.
func (r *Replica) Switch(f func(*Switches)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(&r.switches)
}

// Drain makes it register as leaving from now on.
func (r *Replica) Drain() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.draining = true
}

// Runs returns what it ran.
func (r *Replica) Runs() []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]Run, 0, len(r.runs))
	for _, run := range r.runs {
		out = append(out, *run)
	}
	return out
}

// Crashed returns why an order crashed it; empty if none did.
func (r *Replica) Crashed() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.crashed
}

// Handler returns the replica's HTTP side.
func (r *Replica) Handler() http.Handler {
	m := mux.NewRouter().UseEncodedPath().SkipClean(true)
	m.Methods(http.MethodPost).Path("/v1/order").HandlerFunc(r.order)
	m.Methods(http.MethodGet).Path("/v1/report").HandlerFunc(r.report)
	m.PathPrefix("/").HandlerFunc(r.serve)
	return m
}

// elsewhere answers for a request that another replica is expected to run.
func (r *Replica) elsewhere(w http.ResponseWriter, req *http.Request) bool {
	expect := req.Header.Get("Galenastair-Expect-Instance")
	if expect == "" || expect == r.settings.ID {
		return false
	}
	w.Header().Set("Galenastair-Instance-Id", r.settings.ID)
	w.WriteHeader(http.StatusMisdirectedRequest)
	return true
}

func (r *Replica) holds(name string) bool {
	if name == "" {
		return true
	}
	model, adapter, _ := strings.Cut(name, "/")
	held, ok := r.models[model]
	return ok && (adapter == "" || held[adapter])
}

func (r *Replica) serve(w http.ResponseWriter, req *http.Request) {
	if id := req.Header.Get("Galenastair-Attempt-Id"); id != "" {
		w.Header().Set("Galenastair-Attempt-Id", id)
	}
	if r.elsewhere(w, req) {
		return
	}
	body := make([]byte, max(0, req.ContentLength))
	n, _ := req.Body.Read(body)
	model := req.Header.Get("Galenastair-Model")
	r.mu.Lock()
	sw := r.switches
	if sw.Limit > 0 {
		w.Header().Set("Server-Limit", strconv.FormatFloat(sw.Limit, 'f', -1, 64))
	}
	if !r.holds(model) || sw.Decline {
		missing := !sw.Decline
		r.mu.Unlock()
		w.Header().Set("Galenastair-Not-Executed", "1")
		if missing {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	run := &Run{
		ID:     req.Header.Get("Galenastair-Attempt-Id"),
		Target: req.RequestURI,
		Tenant: req.Header.Get("Galenastair-Tenant"),
		Body:   string(body[:n]),
		After:  req.Header.Get("Last-Event-Id"),
		Key:    req.Header.Get("Authorization") != "",
		At:     time.Now(),
	}
	r.runs = append(r.runs, run)
	r.mu.Unlock()
	w.Header().Set("Galenastair-Server-Signature", "sig."+r.settings.ID)
	switch {
	case sw.Hang:
		<-req.Context().Done()
		r.left(run)
	case sw.Die:
		panic(http.ErrAbortHandler)
	case sw.Fail:
		w.WriteHeader(http.StatusInternalServerError)
	case model != "":
		r.stream(w, req, run, sw)
	default:
		fmt.Fprintf(w, "answer of %s to %s", r.settings.ID, req.RequestURI)
	}
}

func (r *Replica) left(run *Run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	run.Left = true
}

func (r *Replica) stream(w http.ResponseWriter, req *http.Request, run *Run, sw Switches) {
	w.Header().Set("Content-Type", "text/event-stream")
	first, _ := strconv.Atoi(run.After)
	flusher := http.NewResponseController(w)
	for n := first + 1; n <= r.settings.Events; n++ {
		if sw.CutAfter > 0 && n-first > sw.CutAfter {
			fmt.Fprintf(w, "id: %d\nda", n)
			_ = flusher.Flush()
			panic(http.ErrAbortHandler)
		}
		fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", n, n)
		_ = flusher.Flush()
		select {
		case <-req.Context().Done():
			r.left(run)
			return
		case <-time.After(sw.EventGap):
		}
	}
}
