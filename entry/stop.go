package entry

import (
	"net/http"
	"sync/atomic"
)

// shutdownState records whether the shutdown has started.
type shutdownState struct{ requested atomic.Bool }

func (s *shutdownState) start()        { s.requested.Store(true) }
func (s *shutdownState) started() bool { return s.requested.Load() }

// closeWhenStopping sets "Connection: close" on responses once the shutdown has started,
// so that callers with a keep-alive connection open their next one to another instance.
// The shutdown closes idle connections, and a request sent on one at that moment
// would be lost.
func (e *Entry) closeWhenStopping(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.shutdown.started() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}
