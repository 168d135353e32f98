package entry

import (
	"net/http"
	"sync/atomic"
)

// stopping knows whether the instance has been told to stop.
type stopping struct{ told atomic.Bool }

func (s *stopping) begin()      { s.told.Store(true) }
func (s *stopping) begun() bool { return s.told.Load() }

// sayClose tells a caller on a kept connection to open its next one elsewhere once
// the instance is stopping: Shutdown closes idle connections, and a request
// written to one in that moment would be cut.
func (e *Entry) sayClose(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.stopping.begun() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}
