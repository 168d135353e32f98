package metastore

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"time"
)

// answer writes a JSON body.
func answer(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func number(r *http.Request, name string) int64 {
	n, _ := strconv.ParseInt(r.URL.Query().Get(name), 10, 64)
	return n
}

func (s *Store) handleAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	var records [][]byte
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		if n > len(body)-4 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		records = append(records, body[4:4+n])
		body = body[4+n:]
	}
	s.mu.Lock()
	end, there := s.endsThere(r)
	if !there {
		s.mu.Unlock()
		w.WriteHeader(http.StatusPreconditionFailed)
		answer(w, map[string]int64{"end": end})
		return
	}
	offset, refused := s.appendNumbered(r, records)
	s.mu.Unlock()
	if refused != nil {
		w.WriteHeader(http.StatusConflict)
		answer(w, refused)
		return
	}
	answer(w, map[string]int64{"offset": offset, "end": offset + int64(len(records))})
}

// endsThere says whether a topic ends where the call presumes it to, if it does, and where.
func (s *Store) endsThere(r *http.Request) (int64, bool) {
	t := s.topic(r.URL.Query().Get("topic"))
	end := t.first + int64(len(t.records))
	return end, !r.URL.Query().Has("at") || number(r, "at") == end
}

// producer is the state of one producer's writes to a topic.
type producer struct {
	epoch, sequence int64
	// offset is that of the last write.
	offset int64
}

// appendNumbered appends, once for each number of a producer, if the call names one.
func (s *Store) appendNumbered(r *http.Request, records [][]byte) (int64, map[string]any) {
	name, topic := r.URL.Query().Get("producer"), r.URL.Query().Get("topic")
	if name == "" {
		return s.append(topic, records), nil
	}
	key := topic + "/" + name
	epoch, sequence := number(r, "epoch"), number(r, "sequence")
	p, known := s.producers[key]
	switch {
	case known && epoch < p.epoch:
		return 0, map[string]any{"why": "fenced"}
	case known && epoch == p.epoch && sequence == p.sequence:
		return p.offset, nil
	case known && epoch == p.epoch && sequence != p.sequence+1:
		return 0, map[string]any{"why": "seq", "expected": p.sequence + 1}
	}
	offset := s.append(topic, records)
	s.producers[key] = producer{epoch, sequence, offset}
	return offset, nil
}

func (s *Store) handleRead(w http.ResponseWriter, r *http.Request) {
	from := number(r, "from")
	deadline := time.Now().Add(time.Duration(number(r, "wait-ms")) * time.Millisecond)
	for {
		s.mu.Lock()
		t := s.topic(r.URL.Query().Get("topic"))
		first, end, changed := t.first, t.first+int64(len(t.records)), s.changed
		var data []byte
		if from >= first && from < end {
			data = frame(t.records[from-first:])
		}
		s.mu.Unlock()
		switch {
		case from < first:
			w.WriteHeader(http.StatusGone)
			answer(w, map[string]int64{"first": first})
			return
		case len(data) > 0 || !time.Now().Before(deadline):
			head := binary.BigEndian.AppendUint64(nil, uint64(end))
			head = binary.BigEndian.AppendUint64(head, uint64(first))
			_, _ = w.Write(append(head, data...))
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

func frame(records [][]byte) []byte {
	var out []byte
	for _, data := range records {
		out = binary.BigEndian.AppendUint32(out, uint32(len(data)))
		out = append(out, data...)
	}
	return out
}

// page is how many records one answer with the newest holds; small, so that tests see
// more than one page.
const page = 5

func (s *Store) handleNewest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(r.URL.Query().Get("topic"))
	from, end := t.newest, t.first+int64(len(t.records))
	if s.switches.Stale {
		from, end = t.old, max(0, end-1)
	}
	keys := make([]string, 0, len(from))
	for k := range from {
		if k > r.URL.Query().Get("after") {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	more := len(keys) > page
	items := []map[string]any{}
	for _, k := range keys[:min(page, len(keys))] {
		items = append(items, map[string]any{"key": k, "value": base64.StdEncoding.EncodeToString(from[k].value), "offset": from[k].offset})
	}
	answer(w, map[string]any{"items": items, "more": more, "end": end})
}
