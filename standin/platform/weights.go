package platform

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"galenastair"
	wire "galenastair/logservice"
)

// StoreSpeed says what the weight store stands.
type StoreSpeed struct {
	// ModelLoad is how long one model takes at full speed.
	ModelLoad time.Duration
	// ModelsAtOnce load at full speed; more of them share that speed.
	ModelsAtOnce int
	// AdapterLoad is how long one adapter takes while at most AdaptersAtOnce are in flight.
	AdapterLoad    time.Duration
	AdaptersAtOnce int
}

// DefaultStoreSpeed is Himalbyte's weight store.
func DefaultStoreSpeed() StoreSpeed {
	return StoreSpeed{
		ModelLoad:      time.Second,
		ModelsAtOnce:   2,
		AdapterLoad:    40 * time.Millisecond,
		AdaptersAtOnce: 15,
	}
}

// LoadCounts counts what engines have fetched.
type LoadCounts struct {
	Models, Adapters         int
	ModelsNow, AdaptersNow   int
	ModelsMost, AdaptersMost int
}

// weightStore delays loads; beyond its width a load takes longer by the excess.
type weightStore struct {
	speed  StoreSpeed
	mu     sync.Mutex
	counts LoadCounts
}

// begin counts a load and returns how long it will take.
func (s *weightStore) begin(w galenastair.Weight) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &s.counts
	if w.Base != "" {
		c.Adapters++
		c.AdaptersNow++
		c.AdaptersMost = max(c.AdaptersMost, c.AdaptersNow)
		return slowed(s.speed.AdapterLoad, c.AdaptersNow, s.speed.AdaptersAtOnce)
	}
	c.Models++
	c.ModelsNow++
	c.ModelsMost = max(c.ModelsMost, c.ModelsNow)
	return slowed(s.speed.ModelLoad, c.ModelsNow, s.speed.ModelsAtOnce)
}

func slowed(full time.Duration, now, width int) time.Duration {
	if now <= width {
		return full
	}
	return full * time.Duration(now) / time.Duration(width)
}

func (s *weightStore) end(w galenastair.Weight) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w.Base != "" {
		s.counts.AdaptersNow--
		return
	}
	s.counts.ModelsNow--
}

func (p *Platform) postLoad(w http.ResponseWriter, r *http.Request) {
	var weight galenastair.Weight
	if err := json.NewDecoder(r.Body).Decode(&weight); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	takes := p.store.begin(weight)
	defer p.store.end(weight)
	select {
	case <-time.After(takes):
		writeJSON(w, weight)
	case <-r.Context().Done():
	}
}

func (p *Platform) getLoads(w http.ResponseWriter, _ *http.Request) {
	p.store.mu.Lock()
	counts := p.store.counts
	p.store.mu.Unlock()
	writeJSON(w, counts)
}

func (p *Platform) getCatalogue(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, wire.CatalogueResponse{Weights: p.catalogue})
}
