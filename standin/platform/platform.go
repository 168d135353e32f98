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

// appendBurst lets a few appends come at one moment without a refusal.
const appendBurst = 20

// Platform is the stand-in.
type Platform struct {
	board     *board
	list      *instanceList
	store     *weightStore
	catalogue []galenastair.Weight

	mu      sync.Mutex
	streams map[string]*stream
	appends *rate.Limiter
}

// Option changes how a platform is made.
type Option func(*Platform)

// WithSwitches sets the switches that it starts with.
func WithSwitches(s Switches) Option {
	return func(p *Platform) { p.board = newBoard(s) }
}

// WithCatalogue sets what its weight store holds.
func WithCatalogue(weights []galenastair.Weight) Option {
	return func(p *Platform) { p.catalogue = weights }
}

// WithStoreSpeed sets how fast its weight store is.
func WithStoreSpeed(s StoreSpeed) Option {
	return func(p *Platform) { p.store.speed = s }
}

// New returns a platform that holds nothing yet.
func New(opts ...Option) *Platform {
	p := &Platform{
		board:   newBoard(DefaultSwitches()),
		list:    newInstanceList(),
		store:   &weightStore{speed: DefaultStoreSpeed()},
		streams: map[string]*stream{},
		appends: rate.NewLimiter(0, appendBurst),
	}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// Switch changes switches while the platform runs.
func (p *Platform) Switch(f func(*Switches)) {
	_ = p.board.change(func(s *Switches) error { f(s); return nil })
}

func (p *Platform) allowAppend(sw Switches) bool {
	if sw.AppendsPerSecond <= 0 {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.appends.Limit() != rate.Limit(sw.AppendsPerSecond) {
		p.appends.SetLimit(rate.Limit(sw.AppendsPerSecond))
	}
	return p.appends.Allow()
}

// HandlerUntil serves like Handler, and ends what still waits when the context
// ends, so that a process with open long polls can stop.
func (p *Platform) HandlerUntil(ctx context.Context) http.Handler {
	h := p.Handler()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		waiting, cancel := context.WithCancel(r.Context())
		defer cancel()
		defer context.AfterFunc(ctx, cancel)()
		h.ServeHTTP(w, r.WithContext(waiting))
	})
}

// Handler serves the platform's wire forms.
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
	r.HandleFunc("/switches", p.postSwitches).Methods(http.MethodPost)
	r.HandleFunc("/switches", p.getSwitches).Methods(http.MethodGet)
	return r
}

func (p *Platform) postSwitches(w http.ResponseWriter, r *http.Request) {
	err := p.board.change(func(s *Switches) error {
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
	p.getSwitches(w, r)
}

func (p *Platform) getSwitches(w http.ResponseWriter, _ *http.Request) {
	sw, _ := p.board.get()
	writeJSON(w, sw)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
