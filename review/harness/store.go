package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// store is a stand-in of the platform's metadata store: keyed topics with one partition each.
type store struct {
	mu        sync.Mutex
	topics    map[string]*topic
	producers map[string]*producerState
	changed   chan struct{}
}

type topic struct {
	records [][]byte
	newest  map[string]keyedValue
}

type keyedValue struct {
	value  []byte
	offset int64
}

// producerState is the state of the numbered appends of one producer to one topic.
type producerState struct {
	epoch, next int64
	// answers are the offsets of the last appends by sequence number.
	answers map[int64]int64
}

func newStore() *store {
	return &store{topics: map[string]*topic{}, producers: map[string]*producerState{}, changed: make(chan struct{})}
}

func (s *store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]keyedValue{}}
		s.topics[name] = t
	}
	return t
}

// put writes the newest value of a key; an empty value deletes the key.
func (s *store) put(name, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.append(name, [][]byte{append(append([]byte{byte(len(key))}, key...), value...)})
}

func (s *store) append(name string, records [][]byte) int64 {
	t := s.topic(name)
	offset := int64(len(t.records))
	for i, r := range records {
		t.records = append(t.records, r)
		n := int(r[0])
		key, value := string(r[1:1+n]), r[1+n:]
		if len(value) == 0 {
			delete(t.newest, key)
			continue
		}
		t.newest[key] = keyedValue{value, offset + int64(i)}
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return offset
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/log-append", s.handleAppend)
	mux.HandleFunc("GET /v1/log-read", s.handleRead)
	mux.HandleFunc("GET /v1/log-newest", s.handleNewest)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Store-Era", "1")
		mux.ServeHTTP(w, r)
	})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func number(r *http.Request, name string) int64 {
	n, _ := strconv.ParseInt(r.URL.Query().Get(name), 10, 64)
	return n
}

func decodeRecords(body []byte) ([][]byte, bool) {
	var out [][]byte
	for len(body) > 0 {
		if len(body) < 4 {
			return nil, false
		}
		n := int(binary.BigEndian.Uint32(body))
		if n < 1 || n > len(body)-4 || int(body[4]) > n-1 {
			return nil, false
		}
		out = append(out, body[4:4+n])
		body = body[4+n:]
	}
	return out, true
}

func (s *store) handleAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	records, ok := decodeRecords(body)
	if err != nil || !ok {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	end := int64(len(s.topic(q.Get("topic")).records))
	if q.Has("at") && number(r, "at") != end {
		writeJSON(w, http.StatusPreconditionFailed, map[string]int64{"end": end})
		return
	}
	var p *producerState
	epoch, sequence := number(r, "epoch"), number(r, "sequence")
	if q.Has("producer") {
		key := q.Get("topic") + "/" + q.Get("producer")
		p = s.producers[key]
		if p == nil || epoch > p.epoch {
			p = &producerState{epoch: epoch, next: sequence, answers: map[int64]int64{}}
			s.producers[key] = p
		}
		if epoch < p.epoch {
			writeJSON(w, http.StatusConflict, map[string]any{"why": "fenced"})
			return
		}
		if offset, repeated := p.answers[sequence]; repeated {
			writeJSON(w, http.StatusOK, map[string]int64{"offset": offset, "end": end})
			return
		}
		if sequence != p.next {
			writeJSON(w, http.StatusConflict, map[string]any{"why": "seq", "expected": p.next})
			return
		}
	}
	offset := s.append(q.Get("topic"), records)
	if p != nil {
		p.next = sequence + 1
		p.answers[sequence] = offset
		delete(p.answers, sequence-5)
	}
	writeJSON(w, http.StatusOK, map[string]int64{"offset": offset, "end": offset + int64(len(records))})
}

func (s *store) handleRead(w http.ResponseWriter, r *http.Request) {
	from := number(r, "from")
	deadline := time.Now().Add(time.Duration(number(r, "wait-ms")) * time.Millisecond)
	for {
		s.mu.Lock()
		t, changed := s.topic(r.URL.Query().Get("topic")), s.changed
		end := int64(len(t.records))
		data := binary.BigEndian.AppendUint64(nil, uint64(end))
		data = binary.BigEndian.AppendUint64(data, 0)
		for at := from; at >= 0 && at < end; at++ {
			data = binary.BigEndian.AppendUint32(data, uint32(len(t.records[at])))
			data = append(data, t.records[at]...)
		}
		s.mu.Unlock()
		if from < 0 || from > end {
			writeJSON(w, http.StatusGone, map[string]int64{"first": 0})
			return
		}
		if from < end || !time.Now().Before(deadline) {
			_, _ = w.Write(data)
			return
		}
		select {
		case <-changed:
		case <-time.After(time.Until(deadline)):
		case <-r.Context().Done():
			return
		}
	}
}

const pageSize = 500

func (s *store) handleNewest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(r.URL.Query().Get("topic"))
	keys := slices.Sorted(maps.Keys(t.newest))
	keys = slices.DeleteFunc(keys, func(k string) bool { return k <= r.URL.Query().Get("after") })
	more := len(keys) > pageSize
	items := []map[string]any{}
	for _, k := range keys[:min(pageSize, len(keys))] {
		items = append(items, map[string]any{"key": k, "value": base64.StdEncoding.EncodeToString(t.newest[k].value), "offset": t.newest[k].offset})
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "more": more, "end": len(t.records)})
}
