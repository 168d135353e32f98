package metastore

import (
	"maps"
	"net/http"
	"slices"
	"strconv"
)

// Copy is the state of a store at one time.
type Copy struct {
	topics    map[string]*topic
	producers map[string]producer
}

// Copy returns a copy of the store's state.
func (s *Store) Copy() *Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &Copy{cloneTopics(s.topics), maps.Clone(s.producers)}
}

// Restore replaces the store's state with that of a copy and begins a new era: offsets after the end of the copy
// are given out again.
func (s *Store) Restore(c *Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topics, s.producers = cloneTopics(c.topics), maps.Clone(c.producers)
	s.era++
	close(s.changed)
	s.changed = make(chan struct{})
}

func cloneTopics(topics map[string]*topic) map[string]*topic {
	out := make(map[string]*topic, len(topics))
	for name, t := range topics {
		out[name] = &topic{first: t.first, records: slices.Clone(t.records), latest: maps.Clone(t.latest), previous: maps.Clone(t.previous)}
	}
	return out
}

// setEra sets the header that names the era of an answer.
func setEra(w http.ResponseWriter, era int64) {
	w.Header().Set("Store-Era", strconv.FormatInt(era, 10))
}
