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

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func queryInt(r *http.Request, name string) int64 {
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
	end, matches := s.checkEnd(r)
	if !matches {
		s.mu.Unlock()
		w.WriteHeader(http.StatusPreconditionFailed)
		writeJSON(w, map[string]int64{"end": end})
		return
	}
	offset, refused := s.appendIdempotent(r, records)
	s.mu.Unlock()
	if refused != nil {
		w.WriteHeader(http.StatusConflict)
		writeJSON(w, refused)
		return
	}
	writeJSON(w, map[string]int64{"offset": offset, "end": offset + int64(len(records))})
}

// checkEnd returns the end offset of a topic. It reports false if the request names the
// end that it expects, as the query parameter at, and the topic ends elsewhere.
func (s *Store) checkEnd(r *http.Request) (int64, bool) {
	t := s.topic(r.URL.Query().Get("topic"))
	end := t.first + int64(len(t.records))
	return end, !r.URL.Query().Has("at") || queryInt(r, "at") == end
}

// producer is the state of one producer's writes to a topic.
type producer struct {
	epoch, sequence int64
	// offset is the offset of the first record of the last write.
	offset int64
}

// appendIdempotent appends records. If the request names a producer, a repeated sequence
// number appends nothing and returns the offset of the first write, and an older epoch or
// a gap in the sequence numbers is refused.
func (s *Store) appendIdempotent(r *http.Request, records [][]byte) (int64, map[string]any) {
	name, topic := r.URL.Query().Get("producer"), r.URL.Query().Get("topic")
	if name == "" {
		return s.append(topic, records), nil
	}
	key := topic + "/" + name
	epoch, sequence := queryInt(r, "epoch"), queryInt(r, "sequence")
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
	from := queryInt(r, "from")
	deadline := time.Now().Add(time.Duration(queryInt(r, "wait-ms")) * time.Millisecond)
	for {
		s.mu.Lock()
		t := s.topic(r.URL.Query().Get("topic"))
		first, end, changed := t.first, t.first+int64(len(t.records)), s.changed
		// the store may have been restored while the call waited
		setEra(w, s.era)
		var data []byte
		if from >= first && from < end {
			data = encodeRecords(t.records[from-first:])
		}
		s.mu.Unlock()
		switch {
		case from < first, from > end:
			w.WriteHeader(http.StatusGone)
			writeJSON(w, map[string]int64{"first": first})
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

func encodeRecords(records [][]byte) []byte {
	var out []byte
	for _, data := range records {
		out = binary.BigEndian.AppendUint32(out, uint32(len(data)))
		out = append(out, data...)
	}
	return out
}

// pageSize is the maximum number of latest records in one response. It is small, so that
// tests need more than one page.
const pageSize = 5

func (s *Store) handleNewest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(r.URL.Query().Get("topic"))
	from, end := t.latest, t.first+int64(len(t.records))
	if s.faults.StaleReads {
		from, end = t.previous, max(0, end-1)
	}
	keys := make([]string, 0, len(from))
	for k := range from {
		if k > r.URL.Query().Get("after") {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	more := len(keys) > pageSize
	items := []map[string]any{}
	for _, k := range keys[:min(pageSize, len(keys))] {
		items = append(items, map[string]any{"key": k, "value": base64.StdEncoding.EncodeToString(from[k].value), "offset": from[k].offset})
	}
	writeJSON(w, map[string]any{"items": items, "more": more, "end": end})
}
