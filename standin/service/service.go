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

// maxBody bounds a call.
const maxBody = 8 << 20

// Switches are what a test changes while the service runs.
type Switches struct {
	// Delay passes before each call runs.
	Delay time.Duration
	// Decline answers 503 with the word that nothing ran.
	Decline bool
	// Fail answers 500 after the effect.
	Fail bool
	// DieAfterEffect ends the process after the next call ran, with no answer.
	DieAfterEffect bool
	// LoseAnswers cuts the connection after the effect, before the answer.
	LoseAnswers bool
	// CutAnswers cuts the connection in the middle of the answer.
	CutAnswers bool
}

// Call says how often one call ran.
type Call struct {
	ID    string
	Count int
}

// CallsAnswer tells what a service ran and whether it was ever shown a key.
type CallsAnswer struct {
	// ByRequest counts by X-Request-Id, ByCall by the body's field "Call".
	ByRequest []Call
	ByCall    []Call
	Total     int
	// Keys counts requests that came with an Authorization header.
	Keys int
}

// Service is the stand-in.
type Service struct {
	exit    func()
	journal *journal.Journal

	mu        sync.Mutex
	switches  Switches
	byRequest map[string]int
	byCall    map[string]int
	total     int
	keys      int
}

// Option changes how a service is made.
type Option func(*Service)

// WithJournal says where runs are written down.
func WithJournal(j *journal.Journal) Option { return func(s *Service) { s.journal = j } }

// WithExit replaces what ends the process.
func WithExit(exit func()) Option { return func(s *Service) { s.exit = exit } }

// New returns a service that has run nothing.
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

// Switch changes switches while the service runs.
func (s *Service) Switch(f func(*Switches)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(&s.switches)
}

func (s *Service) board() Switches {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.switches
}

// Handler serves calls and what tests ask.
func (s *Service) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/control/calls", s.getCalls).Methods(http.MethodGet)
	r.HandleFunc("/switches", s.getSwitches).Methods(http.MethodGet)
	r.HandleFunc("/switches", s.postSwitches).Methods(http.MethodPost)
	r.PathPrefix("/").HandlerFunc(s.serve)
	return r
}

type echo struct {
	Method string
	Path   string
	Query  string
	Body   string
	// Run says how often this request has run.
	Run int
}

func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		return
	}
	sw := s.board()
	if sw.Decline {
		w.Header().Set("X-Outcome", "NotRun")
		http.Error(w, "declined", http.StatusServiceUnavailable)
		return
	}
	// a slow call runs even after its caller has given up
	time.Sleep(sw.Delay)
	run := s.run(r, body)
	switch {
	case sw.DieAfterEffect:
		s.exit()
		panic(http.ErrAbortHandler)
	case sw.LoseAnswers:
		panic(http.ErrAbortHandler)
	case sw.Fail:
		http.Error(w, "failed after the effect", http.StatusInternalServerError)
		return
	}
	answer, _ := json.Marshal(echo{r.Method, r.URL.Path, r.URL.RawQuery, string(body), run})
	w.Header().Set("Content-Type", "application/json")
	if sw.CutAnswers {
		_, _ = w.Write(answer[:len(answer)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(answer)
}

type named struct {
	Call string
}

// run is the effect of a call: it is counted.
func (s *Service) run(r *http.Request, body []byte) int {
	var n named
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

// Calls returns what has run so far.
func (s *Service) Calls() CallsAnswer {
	s.mu.Lock()
	defer s.mu.Unlock()
	return CallsAnswer{list(s.byRequest), list(s.byCall), s.total, s.keys}
}

func list(counts map[string]int) []Call {
	calls := make([]Call, 0, len(counts))
	for id, n := range counts {
		calls = append(calls, Call{id, n})
	}
	return calls
}

func (s *Service) getCalls(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Calls()) }

func (s *Service) getSwitches(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.board()) }

func (s *Service) postSwitches(w http.ResponseWriter, r *http.Request) {
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	changed := s.board()
	if err := d.Decode(&changed); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.Switch(func(sw *Switches) { *sw = changed })
	writeJSON(w, changed)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
