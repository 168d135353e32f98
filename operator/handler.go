package operator

import (
	"encoding/json"
	"net/http"

	"github.com/gorilla/mux"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// State tells what an instance is doing.
type State interface {
	// Ready returns nil if the instance takes requests, else why not.
	Ready() error
	// Status returns what /status shows.
	Status() Status
}

// NewHandler returns the handler of the operators' port.
func NewHandler(s State, m *Metrics) http.Handler {
	r := mux.NewRouter()
	r.Methods(http.MethodGet).Path("/healthz").HandlerFunc(healthy)
	r.Methods(http.MethodGet).Path("/readyz").HandlerFunc(ready(s))
	r.Methods(http.MethodGet).Path("/status").HandlerFunc(status(s))
	r.Methods(http.MethodGet).Path("/metrics").Handler(promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{}))
	return r
}

func healthy(w http.ResponseWriter, _ *http.Request) {
	_, _ = w.Write([]byte("ok\n"))
}

func ready(s State) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if err := s.Ready(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write([]byte("ready\n"))
	}
}

func status(s State) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(s.Status())
	}
}
