package engine

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/google/uuid"
	"github.com/gorilla/mux"
	"github.com/rotisserie/eris"

	"galenastair"
	wire "galenastair/engine"
)

// maxBody bounds a request.
const maxBody = 8 << 20

var (
	errDraining = eris.New("the engine is leaving")
	errNotReady = eris.New("the model is not ready here")
	errFull     = eris.New("too many requests wait")
	errTooLong  = eris.New("the request does not fit into the KV cache")
)

func (e *Engine) chat(w http.ResponseWriter, r *http.Request)     { e.serve(w, r, true) }
func (e *Engine) complete(w http.ResponseWriter, r *http.Request) { e.serve(w, r, false) }

func (e *Engine) serve(w http.ResponseWriter, r *http.Request, chat bool) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	request, err := ParseRequest(body, chat)
	if err != nil {
		notRun(w, http.StatusBadRequest, err)
		return
	}
	id := galenastair.RequestID(r.Header.Get(wire.HeaderRequestID))
	if id == "" {
		id = galenastair.RequestID(uuid.NewString())
	}
	s := newSequence(id, chat, request)
	if err := e.admit(s); err != nil {
		w.Header().Set("Retry-After", "1")
		notRun(w, http.StatusServiceUnavailable, err)
		return
	}
	if request.Stream {
		e.stream(w, r, s, 0)
		return
	}
	e.answerWhole(w, r, s)
}

// admit queues a request, or says why it certainly will not run.
func (e *Engine) admit(s *sequence) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.draining:
		return errDraining
	case !e.weights.ready(s.request.Model):
		return errNotReady
	case len(e.batch.waiting) >= e.settings.MaxWaiting:
		return errFull
	case !e.cache.fits(s.tokens()):
		return errTooLong
	}
	s.attach()
	e.batch.add(s)
	e.byID[s.id] = s
	e.rouse()
	return nil
}

func (e *Engine) find(r *http.Request) *sequence {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.byID[galenastair.RequestID(mux.Vars(r)["id"])]
}

func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.Atoi(r.Header.Get(wire.HeaderLastEventID))
	if err != nil || after < 0 {
		http.Error(w, wire.HeaderLastEventID+" must be a number", http.StatusBadRequest)
		return
	}
	s := e.find(r)
	if s == nil || s.isCancelled() {
		http.Error(w, "no such stream", http.StatusNotFound)
		return
	}
	s.attach()
	e.stream(w, r, s, after)
}

func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	s := e.find(r)
	if s == nil {
		http.Error(w, "no such stream", http.StatusNotFound)
		return
	}
	s.cancel()
	e.rouse()
	writeJSON(w, struct{}{})
}

// notRun refuses with the engine's word that nothing ran.
func notRun(w http.ResponseWriter, status int, err error) {
	w.Header().Set(wire.HeaderOutcome, wire.OutcomeNotRun)
	http.Error(w, err.Error(), status)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
