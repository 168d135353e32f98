package operator

import (
	"encoding/json"
	"net/http"

	"github.com/gorilla/mux"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// StatusReporter reports the state of an instance.
type StatusReporter interface {
	// Ready returns nil if the instance accepts requests, else the reason why not.
	Ready() error
	// Status returns the response to /status.
	Status() Status
}

// NewHandler returns the HTTP handler of the operators' port.
func NewHandler(s StatusReporter, m *Metrics) http.Handler {
	r := mux.NewRouter()
	r.Methods(http.MethodGet).Path("/healthz").HandlerFunc(handleHealth)
	r.Methods(http.MethodGet).Path("/readyz").HandlerFunc(readinessHandler(s))
	r.Methods(http.MethodGet).Path("/status").HandlerFunc(statusHandler(s))
	r.Methods(http.MethodGet).Path("/metrics").Handler(promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{}))
	return r
}

func handleHealth(w http.ResponseWriter, _ *http.Request) {
	_, _ = w.Write([]byte("ok\n"))
}

func readinessHandler(s StatusReporter) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if err := s.Ready(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write([]byte("ready\n"))
	}
}

func statusHandler(s StatusReporter) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(s.Status())
	}
}
