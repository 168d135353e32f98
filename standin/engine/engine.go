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

// Engine is a fake model engine. The mutex guards the fields below it.
type Engine struct {
	id       galenastair.BackendServerID
	settings Settings
	wake     chan struct{}

	mu            sync.Mutex
	faults        Faults
	faultsChanged chan struct{}
	batch         batch
	cache         *cache
	weights       weights
	runs          runs
	byID          map[galenastair.RequestID]*sequence
	lastSweep     time.Time
	fence         galenastair.Fence
	role          string
	draining      bool
	reports       []timedReport
}

// New returns an engine with no weights loaded.
func New(id galenastair.BackendServerID, s Settings) *Engine {
	return &Engine{
		id:            id,
		settings:      s,
		wake:          make(chan struct{}, 1),
		faultsChanged: make(chan struct{}),
		cache:         newCache(s),
		weights:       weights{total: s.Memory, journal: s.Journal},
		runs:          newRuns(s.Journal),
		byID:          map[galenastair.RequestID]*sequence{},
	}
}

// Preload marks weights as loaded and ready without fetching them.
func (e *Engine) Preload(ws ...galenastair.ModelWeights) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, w := range ws {
		e.weights.loaded = append(e.weights.loaded, galenastair.LoadedWeights{Weight: w, State: galenastair.LoadStateReady})
	}
	e.weights.checkOvercommit("")
}

// Drain makes the engine reject new requests. It returns the number of requests that
// are still queued or running.
func (e *Engine) Drain() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.draining = true
	return len(e.batch.waiting) + len(e.batch.running)
}

// UpdateFaults changes the injected faults while the engine runs.
func (e *Engine) UpdateFaults(f func(*Faults)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f(&e.faults)
	if e.faults.SilentStreams {
		e.faults.SilentStreams = false
		for _, s := range e.byID {
			s.silence()
		}
	}
	close(e.faultsChanged)
	e.faultsChanged = make(chan struct{})
	e.wakeUp()
}

func (e *Engine) wakeUp() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

func (e *Engine) currentFaults() (Faults, <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults, e.faultsChanged
}

// Handler returns the engine's HTTP handler.
func (e *Engine) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/switches", e.getFaults).Methods(http.MethodGet)
	r.HandleFunc("/switches", e.postFaults).Methods(http.MethodPost)
	r.HandleFunc("/control/runs", e.getRuns).Methods(http.MethodGet)
	r.HandleFunc("/control/violations", e.getViolations).Methods(http.MethodGet)
	served := r.NewRoute().Subrouter()
	served.Use(e.blockWhileFrozen)
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

// blockWhileFrozen delays each request until the engine is no longer frozen.
func (e *Engine) blockWhileFrozen(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.runs.recordAuthorization(r)
		// net/http detects a closed client connection only after the body has been read.
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
		if err != nil {
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		for {
			faults, changed := e.currentFaults()
			if !faults.Frozen {
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
