package service

import (
	"encoding/json"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"galenastair"
	"galenastair/standin/journal"
)

// maxBody limits the size of a request body, in bytes.
const maxBody = 8 << 20

// Faults are the faults to inject. They can be changed while the service runs.
type Faults struct {
	// Delay is the delay before each call is executed.
	Delay time.Duration
	// Decline responds 503 with the outcome header that states that the call was not
	// executed.
	Decline bool
	// Fail executes the call and responds 500.
	Fail bool
	// DieAfterEffect executes the next call and ends the process without a response.
	DieAfterEffect bool
	// LoseAnswers executes the call and closes the connection without a response.
	LoseAnswers bool
	// CutAnswers closes the connection in the middle of the response.
	CutAnswers bool
}

// CallCount is the number of executions of one call.
type CallCount struct {
	ID    string
	Count int
}

// CallsResponse counts the calls that were executed and those that carried a caller's key.
type CallsResponse struct {
	// ByRequest counts by X-Request-Id, ByCall by the field "Call" of the body.
	ByRequest []CallCount
	ByCall    []CallCount
	Total     int
	// Keys is the number of executed calls with an Authorization header.
	Keys int
}

// Service is a fake plain service.
type Service struct {
	exit    func()
	journal *journal.Journal

	mu        sync.Mutex
	faults    Faults
	byRequest map[string]int
	byCall    map[string]int
	total     int
	keys      int
}

// Option configures a Service.
type Option func(*Service)

// WithJournal sets the journal in which executions are recorded.
func WithJournal(j *journal.Journal) Option { return func(s *Service) { s.journal = j } }

// WithExit replaces the function that ends the process.
func WithExit(exit func()) Option { return func(s *Service) { s.exit = exit } }

// New returns a service with all counts at 0.
func New(opts ...Option) *Service {
	s := &Service{
		exit:      func() { os.Exit(1) },
		byRequest: map[string]int{},
		byCall:    map[string]int{},
	}
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// UpdateFaults changes the injected faults while the service runs.
func (s *Service) UpdateFaults(f func(*Faults)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(&s.faults)
}

func (s *Service) currentFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Handler returns the service's HTTP handler.
func (s *Service) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/control/calls", s.getCalls).Methods(http.MethodGet)
	r.HandleFunc("/switches", s.getFaults).Methods(http.MethodGet)
	r.HandleFunc("/switches", s.postFaults).Methods(http.MethodPost)
	r.PathPrefix("/").HandlerFunc(s.serve)
	return r
}

type echo struct {
	Method string
	Path   string
	Query  string
	Body   string
	// Run is the number of executions with this request's X-Request-Id so far.
	Run int
}

func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		return
	}
	faults := s.currentFaults()
	if faults.Decline {
		w.Header().Set("X-Outcome", "NotRun")
		http.Error(w, "declined", http.StatusServiceUnavailable)
		return
	}
	// The sleep ignores the request's context: a delayed call is executed even after its
	// client has timed out.
	time.Sleep(faults.Delay)
	run := s.recordRun(r, body)
	switch {
	case faults.DieAfterEffect:
		s.exit()
		panic(http.ErrAbortHandler)
	case faults.LoseAnswers:
		panic(http.ErrAbortHandler)
	case faults.Fail:
		http.Error(w, "failed after the effect", http.StatusInternalServerError)
		return
	}
	answer, _ := json.Marshal(echo{r.Method, r.URL.Path, r.URL.RawQuery, string(body), run})
	w.Header().Set("Content-Type", "application/json")
	if faults.CutAnswers {
		_, _ = w.Write(answer[:len(answer)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(answer)
}

type callBody struct {
	Call string
}

// recordRun counts the execution of a call and returns the count of its request ID.
func (s *Service) recordRun(r *http.Request, body []byte) int {
	var n callBody
	_ = json.Unmarshal(body, &n)
	id := r.Header.Get("X-Request-Id")
	keySeen := r.Header.Get("Authorization") != ""
	s.journal.Write(journal.Entry{Request: galenastair.RequestID(id), Call: n.Call, KeySeen: keySeen})
	s.mu.Lock()
	defer s.mu.Unlock()
	s.total++
	if keySeen {
		s.keys++
	}
	if n.Call != "" {
		s.byCall[n.Call]++
	}
	s.byRequest[id]++
	return s.byRequest[id]
}

// Calls returns the counts so far.
func (s *Service) Calls() CallsResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	return CallsResponse{callCounts(s.byRequest), callCounts(s.byCall), s.total, s.keys}
}

func callCounts(counts map[string]int) []CallCount {
	calls := make([]CallCount, 0, len(counts))
	for id, n := range counts {
		calls = append(calls, CallCount{id, n})
	}
	return calls
}

func (s *Service) getCalls(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Calls()) }

func (s *Service) getFaults(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.currentFaults()) }

func (s *Service) postFaults(w http.ResponseWriter, r *http.Request) {
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	changed := s.currentFaults()
	if err := d.Decode(&changed); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.UpdateFaults(func(faults *Faults) { *faults = changed })
	writeJSON(w, changed)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
