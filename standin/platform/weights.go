package platform

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"galenastair"
	wire "galenastair/logservice"
)

// WeightStoreConfig sets the load times and the concurrency of the weight store.
type WeightStoreConfig struct {
	// ModelLoadTime is the time to load one model at full speed.
	ModelLoadTime time.Duration
	// ConcurrentModels is the number of models that load at full speed together. Further
	// ones share that bandwidth.
	ConcurrentModels int
	// AdapterLoadTime is the time to load one adapter while at most ConcurrentAdapters are
	// loading.
	AdapterLoadTime    time.Duration
	ConcurrentAdapters int
}

// DefaultWeightStoreConfig returns the characteristics of Himalbyte's weight store.
func DefaultWeightStoreConfig() WeightStoreConfig {
	return WeightStoreConfig{
		ModelLoadTime:      time.Second,
		ConcurrentModels:   2,
		AdapterLoadTime:    40 * time.Millisecond,
		ConcurrentAdapters: 15,
	}
}

// LoadStats counts loads from the weight store: in total, current, and the maximum at one
// time.
type LoadStats struct {
	Models, Adapters         int
	ModelsNow, AdaptersNow   int
	ModelsMost, AdaptersMost int
}

// weightStore simulates load times. Above the configured concurrency, the time of a load
// grows in proportion to the loads in progress.
type weightStore struct {
	config WeightStoreConfig
	mu     sync.Mutex
	counts LoadStats
}

// startLoad counts a load and returns its duration.
func (s *weightStore) startLoad(w galenastair.ModelWeights) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &s.counts
	if w.Base != "" {
		c.Adapters++
		c.AdaptersNow++
		c.AdaptersMost = max(c.AdaptersMost, c.AdaptersNow)
		return loadDuration(s.config.AdapterLoadTime, c.AdaptersNow, s.config.ConcurrentAdapters)
	}
	c.Models++
	c.ModelsNow++
	c.ModelsMost = max(c.ModelsMost, c.ModelsNow)
	return loadDuration(s.config.ModelLoadTime, c.ModelsNow, s.config.ConcurrentModels)
}

func loadDuration(fullSpeed time.Duration, inFlight, concurrency int) time.Duration {
	if inFlight <= concurrency {
		return fullSpeed
	}
	return fullSpeed * time.Duration(inFlight) / time.Duration(concurrency)
}

func (s *weightStore) endLoad(w galenastair.ModelWeights) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w.Base != "" {
		s.counts.AdaptersNow--
		return
	}
	s.counts.ModelsNow--
}

func (p *Platform) postLoad(w http.ResponseWriter, r *http.Request) {
	var weight galenastair.ModelWeights
	if err := json.NewDecoder(r.Body).Decode(&weight); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	duration := p.weightStore.startLoad(weight)
	defer p.weightStore.endLoad(weight)
	select {
	case <-time.After(duration):
		writeJSON(w, weight)
	case <-r.Context().Done():
	}
}

func (p *Platform) getLoads(w http.ResponseWriter, _ *http.Request) {
	p.weightStore.mu.Lock()
	counts := p.weightStore.counts
	p.weightStore.mu.Unlock()
	writeJSON(w, counts)
}

func (p *Platform) getCatalogue(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, wire.CatalogueResponse{Weights: p.catalogue})
}
