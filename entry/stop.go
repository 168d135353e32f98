package entry

import (
	"net/http"
	"sync/atomic"
)

// stopping knows whether the instance has been told to stop.
type stopping struct {
	told     atomic.Bool
	requests atomic.Int64
}

func (s *stopping) begin()      { s.told.Store(true) }
func (s *stopping) begun() bool { return s.told.Load() }

// count tells a caller on a kept connection to open its next one elsewhere once
// the instance is stopping: Shutdown closes idle connections, and a request
// written to one in that moment would be cut.
func (e *Entry) count(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.stopping.begun() {
			w.Header().Set("Connection", "close")
		}
		e.stopping.requests.Add(1)
		defer e.stopping.requests.Add(-1)
		next.ServeHTTP(w, r)
	})
}
