package platform

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"

	"github.com/gorilla/mux"
	"golang.org/x/time/rate"

	"galenastair"
)

// appendBurst is the burst of the append rate limiter, in appends.
const appendBurst = 20

// Platform is a fake platform.
type Platform struct {
	faults      *faultState
	list        *instanceList
	weightStore *weightStore
	catalogue   []galenastair.ModelWeights

	mu            sync.Mutex
	streams       map[string]*stream
	appendLimiter *rate.Limiter
}

// Option configures a Platform.
type Option func(*Platform)

// WithFaults sets the faults in effect at the start.
func WithFaults(s Faults) Option {
	return func(p *Platform) { p.faults = newFaultState(s) }
}

// WithCatalogue sets the weights in the weight store.
func WithCatalogue(weights []galenastair.ModelWeights) Option {
	return func(p *Platform) { p.catalogue = weights }
}

// WithWeightStore sets the load times and the concurrency of the weight store.
func WithWeightStore(s WeightStoreConfig) Option {
	return func(p *Platform) { p.weightStore.config = s }
}

// New returns a platform with an empty log and an empty instance list.
func New(opts ...Option) *Platform {
	p := &Platform{
		faults:        newFaultState(DefaultFaults()),
		list:          newInstanceList(),
		weightStore:   &weightStore{config: DefaultWeightStoreConfig()},
		streams:       map[string]*stream{},
		appendLimiter: rate.NewLimiter(0, appendBurst),
	}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// UpdateFaults changes the faults while the platform runs.
func (p *Platform) UpdateFaults(f func(*Faults)) {
	_ = p.faults.update(func(s *Faults) error { f(s); return nil })
}

func (p *Platform) allowAppend(faults Faults) bool {
	if faults.AppendsPerSecond <= 0 {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.appendLimiter.Limit() != rate.Limit(faults.AppendsPerSecond) {
		p.appendLimiter.SetLimit(rate.Limit(faults.AppendsPerSecond))
	}
	return p.appendLimiter.Allow()
}

// HandlerWithContext returns a handler like Handler that also cancels open requests when
// ctx is cancelled, so that long polls do not delay the shutdown of the process.
func (p *Platform) HandlerWithContext(ctx context.Context) http.Handler {
	h := p.Handler()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		waiting, cancel := context.WithCancel(r.Context())
		defer cancel()
		defer context.AfterFunc(ctx, cancel)()
		h.ServeHTTP(w, r.WithContext(waiting))
	})
}

// Handler returns the platform's HTTP handler.
func (p *Platform) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/streams/{stream}/records", p.appendRecord).Methods(http.MethodPost)
	r.HandleFunc("/streams/{stream}/records", p.readRecords).Methods(http.MethodGet)
	r.HandleFunc("/instances", p.postInstance).Methods(http.MethodPost)
	r.HandleFunc("/instances", p.getInstances).Methods(http.MethodGet)
	r.HandleFunc("/instances/{id}", p.deleteInstance).Methods(http.MethodDelete)
	r.HandleFunc("/catalogue", p.getCatalogue).Methods(http.MethodGet)
	r.HandleFunc("/loads", p.postLoad).Methods(http.MethodPost)
	r.HandleFunc("/loads", p.getLoads).Methods(http.MethodGet)
	r.HandleFunc("/switches", p.postFaults).Methods(http.MethodPost)
	r.HandleFunc("/switches", p.getFaults).Methods(http.MethodGet)
	return r
}

func (p *Platform) postFaults(w http.ResponseWriter, r *http.Request) {
	err := p.faults.update(func(s *Faults) error {
		changed := *s
		d := json.NewDecoder(r.Body)
		d.DisallowUnknownFields()
		if err := d.Decode(&changed); err != nil {
			return err
		}
		*s = changed
		return nil
	})
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.getFaults(w, r)
}

func (p *Platform) getFaults(w http.ResponseWriter, _ *http.Request) {
	faults, _ := p.faults.get()
	writeJSON(w, faults)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
