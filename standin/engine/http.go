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

// maxBody limits the size of a request body, in bytes.
const maxBody = 8 << 20

var (
	errDraining     = eris.New("the engine is leaving")
	errNotReady     = eris.New("the model is not ready here")
	errQueueFull    = eris.New("too many requests wait")
	errExceedsCache = eris.New("the request does not fit into the KV cache")
)

func (e *Engine) chat(w http.ResponseWriter, r *http.Request)     { e.serveCompletion(w, r, true) }
func (e *Engine) complete(w http.ResponseWriter, r *http.Request) { e.serveCompletion(w, r, false) }

func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request, chat bool) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	request, err := ParseRequest(body, chat)
	if err != nil {
		rejectNotRun(w, http.StatusBadRequest, err)
		return
	}
	id := galenastair.RequestID(r.Header.Get(wire.HeaderRequestID))
	if id == "" {
		id = galenastair.RequestID(uuid.NewString())
	}
	s := newSequence(id, chat, request)
	if err := e.admit(s); err != nil {
		w.Header().Set("Retry-After", "1")
		rejectNotRun(w, http.StatusServiceUnavailable, err)
		return
	}
	if request.Stream {
		e.stream(w, r, s, 0)
		return
	}
	e.writeCompletion(w, r, s)
}

// admit queues a request. An error means that the request will not run.
func (e *Engine) admit(s *sequence) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.draining:
		return errDraining
	case !e.weights.isReady(s.request.Model):
		return errNotReady
	case len(e.batch.waiting) >= e.settings.MaxQueueLength:
		return errQueueFull
	case !e.cache.fits(s.totalTokens()):
		return errExceedsCache
	}
	s.attach()
	e.batch.enqueue(s)
	e.byID[s.id] = s
	e.wakeUp()
	return nil
}

func (e *Engine) findSequence(r *http.Request) *sequence {
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
	s := e.findSequence(r)
	if s == nil || s.isCancelled() {
		http.Error(w, "no such stream", http.StatusNotFound)
		return
	}
	s.attach()
	e.stream(w, r, s, after)
}

func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	s := e.findSequence(r)
	if s == nil {
		http.Error(w, "no such stream", http.StatusNotFound)
		return
	}
	s.cancel()
	e.wakeUp()
	writeJSON(w, struct{}{})
}

// rejectNotRun responds with an error and the outcome header which states that the
// request was not executed.
func rejectNotRun(w http.ResponseWriter, status int, err error) {
	w.Header().Set(wire.HeaderOutcome, wire.OutcomeNotRun)
	http.Error(w, err.Error(), status)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
