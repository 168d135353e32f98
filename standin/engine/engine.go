package engine

import (
	"bytes"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"galenastair"
)

// Engine is the stand-in; its lock guards all that follows it.
type Engine struct {
	id       galenastair.BackendServerID
	settings Settings
	wake     chan struct{}

	mu       sync.Mutex
	switches Switches
	changed  chan struct{}
	batch    batch
	cache    *cache
	weights  weights
	runs     runs
	byID     map[galenastair.RequestID]*sequence
	swept    time.Time
	fence    galenastair.Fence
	role     string
	draining bool
	reports  []timedReport
}

// New returns an engine that has nothing loaded.
func New(id galenastair.BackendServerID, s Settings) *Engine {
	return &Engine{
		id:       id,
		settings: s,
		wake:     make(chan struct{}, 1),
		changed:  make(chan struct{}),
		cache:    newCache(s),
		weights:  weights{total: s.Memory, journal: s.Journal},
		runs:     newRuns(s.Journal),
		byID:     map[galenastair.RequestID]*sequence{},
	}
}

// Preload makes weights ready at once, as if loaded before the start.
func (e *Engine) Preload(ws ...galenastair.Weight) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, w := range ws {
		e.weights.loaded = append(e.weights.loaded, galenastair.LoadedWeight{Weight: w, State: galenastair.Ready})
	}
	e.weights.audit("")
}

// Drain makes the engine decline new requests and returns how many are still open.
func (e *Engine) Drain() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.draining = true
	return len(e.batch.waiting) + len(e.batch.running)
}

// Switch changes switches while the engine runs.
func (e *Engine) Switch(f func(*Switches)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f(&e.switches)
	if e.switches.SilentStreams {
		e.switches.SilentStreams = false
		for _, s := range e.byID {
			s.silence()
		}
	}
	close(e.changed)
	e.changed = make(chan struct{})
	e.rouse()
}

func (e *Engine) rouse() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

func (e *Engine) board() (Switches, <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.switches, e.changed
}

// Handler serves the engine's wire forms.
func (e *Engine) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/switches", e.getSwitches).Methods(http.MethodGet)
	r.HandleFunc("/switches", e.postSwitches).Methods(http.MethodPost)
	r.HandleFunc("/control/runs", e.getRuns).Methods(http.MethodGet)
	r.HandleFunc("/control/violations", e.getViolations).Methods(http.MethodGet)
	served := r.NewRoute().Subrouter()
	served.Use(e.hangWhileFrozen)
	served.HandleFunc("/v1/chat/completions", e.chat).Methods(http.MethodPost)
	served.HandleFunc("/v1/completions", e.complete).Methods(http.MethodPost)
	served.HandleFunc("/v1/streams/{id}", e.resume).Methods(http.MethodGet)
	served.HandleFunc("/v1/streams/{id}", e.cancel).Methods(http.MethodDelete)
	served.HandleFunc("/control/orders", e.postOrder).Methods(http.MethodPost)
	served.HandleFunc("/control/report", e.getReport).Methods(http.MethodGet)
	served.HandleFunc("/control/events", e.getEvents).Methods(http.MethodGet)
	served.HandleFunc("/control/kv", e.postTransfer).Methods(http.MethodPost)
	return r
}

// hangWhileFrozen keeps a request unread for as long as the engine is frozen.
func (e *Engine) hangWhileFrozen(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.runs.see(r)
		// net/http notices that a client has gone only once the body is read
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
		if err != nil {
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		for {
			sw, changed := e.board()
			if !sw.Frozen {
				next.ServeHTTP(w, r)
				return
			}
			select {
			case <-changed:
			case <-r.Context().Done():
				panic(http.ErrAbortHandler)
			}
		}
	})
}
