package metastore

import (
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"
)

// Switches are what a test changes while the store runs.
type Switches struct {
	// Refuse answers 503 to every call: nothing was done.
	Refuse bool
	// Silent gives no answer and does nothing.
	Silent bool
	// LoseAnswers does what is asked and cuts the connection instead of answering.
	LoseAnswers bool
	// Only limits Refuse and LoseAnswers to the calls of one path.
	Only string
	// Delay passes before each answer.
	Delay time.Duration
	// Stale makes reads of the newest records answer from the state of that long ago.
	Stale bool
}

type record struct {
	key   string
	value []byte
}

type topic struct {
	first   int64
	records [][]byte
	// old is what the newest records were before the last change.
	newest, old map[string]entry
}

type entry struct {
	record
	offset int64
}

// Store is the stand-in.
type Store struct {
	mu       sync.Mutex
	switches Switches
	topics   map[string]*topic
	// producers are those of numbered writes, by topic and name.
	producers map[string]producer
	changed   chan struct{}
	calls     map[string]int
}

// New returns an empty store.
func New() *Store {
	return &Store{topics: map[string]*topic{}, producers: map[string]producer{}, changed: make(chan struct{}), calls: map[string]int{}}
}

// Switch changes the switches.
func (s *Store) Switch(f func(*Switches)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(&s.switches)
}

// Calls returns how often a path was called, or one topic of it: "/v1/log-append?keyed.x".
func (s *Store) Calls(path string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[path]
}

// Put writes the newest value of a key, as the operator or a backend server does; an
// empty value drops the key.
func (s *Store) Put(name, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	data := append([]byte{byte(len(key))}, key...)
	s.append(name, [][]byte{append(data, value...)})
}

// Compact drops the history of a topic; its newest records stay.
func (s *Store) Compact(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	t.first += int64(len(t.records))
	t.records = nil
}

func (s *Store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]entry{}, old: map[string]entry{}}
		s.topics[name] = t
	}
	return t
}

// append adds records and returns the offset of the first.
func (s *Store) append(name string, records [][]byte) int64 {
	t := s.topic(name)
	offset := t.first + int64(len(t.records))
	t.old = map[string]entry{}
	for k, e := range t.newest {
		t.old[k] = e
	}
	for i, data := range records {
		t.records = append(t.records, data)
		r := decodeKeyed(data)
		if len(r.value) == 0 {
			delete(t.newest, r.key)
		} else {
			t.newest[r.key] = entry{r, offset + int64(i)}
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return offset
}

func decodeKeyed(data []byte) record {
	if len(data) == 0 || int(data[0]) > len(data)-1 {
		return record{}
	}
	n := int(data[0])
	return record{string(data[1 : 1+n]), data[1+n:]}
}

// Handler returns the store's HTTP side.
func (s *Store) Handler() http.Handler {
	r := mux.NewRouter()
	for path, h := range map[string]http.HandlerFunc{
		"/v1/log-append": s.handleAppend,
		"/v1/log-read":   s.handleRead,
		"/v1/log-newest": s.handleNewest,
	} {
		r.Path(path).HandlerFunc(s.faulty(path, h))
	}
	return r
}

func (s Switches) hits(path string) bool { return s.Only == "" || s.Only == path }

// faulty puts a call through the switches.
func (s *Store) faulty(path string, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		sw := s.switches
		s.calls[path]++
		s.calls[path+"?"+r.URL.Query().Get("topic")]++
		s.mu.Unlock()
		if sw.Delay > 0 {
			time.Sleep(sw.Delay)
		}
		switch {
		case sw.Refuse && sw.hits(path):
			w.WriteHeader(http.StatusServiceUnavailable)
		case sw.Silent:
			<-r.Context().Done()
		case sw.LoseAnswers && sw.hits(path):
			next(&discard{header: http.Header{}}, r)
			panic(http.ErrAbortHandler)
		default:
			next(w, r)
		}
	}
}

// discard takes an answer that is lost.
type discard struct{ header http.Header }

func (d *discard) Header() http.Header         { return d.header }
func (d *discard) Write(p []byte) (int, error) { return len(p), nil }
func (d *discard) WriteHeader(int)             {}
