package metastore

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"
)

// Faults are the faults to inject. They can be changed while the store runs.
type Faults struct {
	// Refuse responds 503 without executing the request.
	Refuse bool
	// Hang neither executes nor answers requests.
	Hang bool
	// DropResponses executes requests and closes the connection without a response.
	DropResponses bool
	// OnlyPath limits Refuse and DropResponses to requests with this path. Empty is no limit.
	OnlyPath string
	// Delay is the delay before each request is executed.
	Delay time.Duration
	// StaleReads makes reads of the latest records return the state before the last append
	// to the topic.
	StaleReads bool
}

type keyedRecord struct {
	key   string
	value []byte
}

type topic struct {
	first   int64
	records [][]byte
	// latest is the latest record of each key; previous is latest before the last append.
	latest, previous map[string]latestRecord
}

type latestRecord struct {
	keyedRecord
	offset int64
}

// Store is a fake metadata store.
type Store struct {
	mu     sync.Mutex
	faults Faults
	topics map[string]*topic
	// producers holds the state of idempotent producers, by "topic/name".
	producers  map[string]producer
	era        int64
	changed    chan struct{}
	callCounts map[string]int
}

// New returns an empty store.
func New() *Store {
	return &Store{topics: map[string]*topic{}, producers: map[string]producer{}, changed: make(chan struct{}), callCounts: map[string]int{}}
}

// UpdateFaults changes the injected faults.
func (s *Store) UpdateFaults(f func(*Faults)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(&s.faults)
}

// CallCount returns the number of requests to a path such as "/v1/log-append", or to one
// topic of it, "/v1/log-append?keyed.x".
func (s *Store) CallCount(path string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.callCounts[path]
}

// Put writes the latest value of a key, as the operator or a backend server does. An
// empty value deletes the key.
func (s *Store) Put(name, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	data := append([]byte{byte(len(key))}, key...)
	s.append(name, [][]byte{append(data, value...)})
}

// Compact removes all records of a topic; the latest record of each key can still be read
// from /v1/log-newest.
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
		t = &topic{latest: map[string]latestRecord{}, previous: map[string]latestRecord{}}
		s.topics[name] = t
	}
	return t
}

// append adds records and returns the offset of the first one. The caller holds mu.
func (s *Store) append(name string, records [][]byte) int64 {
	t := s.topic(name)
	offset := t.first + int64(len(t.records))
	t.previous = map[string]latestRecord{}
	for k, e := range t.latest {
		t.previous[k] = e
	}
	for i, data := range records {
		t.records = append(t.records, data)
		r := decodeRecord(data)
		if len(r.value) == 0 {
			delete(t.latest, r.key)
		} else {
			t.latest[r.key] = latestRecord{r, offset + int64(i)}
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return offset
}

func decodeRecord(data []byte) keyedRecord {
	if len(data) == 0 || int(data[0]) > len(data)-1 {
		return keyedRecord{}
	}
	n := int(data[0])
	return keyedRecord{string(data[1 : 1+n]), data[1+n:]}
}

// Handler returns the store's HTTP handler.
func (s *Store) Handler() http.Handler {
	r := mux.NewRouter()
	for path, h := range map[string]http.HandlerFunc{
		"/v1/log-append": s.handleAppend,
		"/v1/log-read":   s.handleRead,
		"/v1/log-newest": s.handleNewest,
	} {
		r.Path(path).HandlerFunc(s.withFaults(path, h))
	}
	return r
}

func (s Faults) appliesTo(path string) bool { return s.OnlyPath == "" || s.OnlyPath == path }

// withFaults applies the injected faults to a handler.
func (s *Store) withFaults(path string, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		faults := s.faults
		setEra(w, s.era)
		s.callCounts[path]++
		s.callCounts[path+"?"+r.URL.Query().Get("topic")]++
		s.mu.Unlock()
		if faults.Delay > 0 {
			time.Sleep(faults.Delay)
		}
		switch {
		case faults.Refuse && faults.appliesTo(path):
			w.WriteHeader(http.StatusServiceUnavailable)
		case faults.Hang:
			// net/http notices a closed connection only once the body has been read
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
		case faults.DropResponses && faults.appliesTo(path):
			next(&discardWriter{header: http.Header{}}, r)
			panic(http.ErrAbortHandler)
		default:
			next(w, r)
		}
	}
}

// discardWriter is a http.ResponseWriter that discards the response.
type discardWriter struct{ header http.Header }

func (d *discardWriter) Header() http.Header         { return d.header }
func (d *discardWriter) Write(p []byte) (int, error) { return len(p), nil }
func (d *discardWriter) WriteHeader(int)             {}
