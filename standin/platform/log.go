package platform

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"

	"galenastair"
	wire "galenastair/logservice"
)

func (p *Platform) stream(name string) *stream {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.streams[name]
	if !ok {
		s = newStream()
		p.streams[name] = s
	}
	return s
}

// inOutage answers for the log while it is out and says whether it did. A request
// that hung is dropped when the outage ends: whether it would act then must not
// depend on how soon the end of its connection is seen.
func (p *Platform) inOutage(w http.ResponseWriter, r *http.Request) bool {
	for hung := false; ; hung = true {
		sw, changed := p.board.get()
		switch sw.Outage {
		case NoOutage:
			if hung {
				panic(http.ErrAbortHandler)
			}
			return false
		case Refuse:
			http.Error(w, "outage", http.StatusServiceUnavailable)
			return true
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
	}
}

func (p *Platform) appendRecord(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if p.inOutage(w, r) {
		return
	}
	sw, _ := p.board.get()
	if !p.allowAppend(sw) {
		http.Error(w, "too many appends", http.StatusTooManyRequests)
		return
	}
	if sw.AppendDelay > 0 {
		// a slow store acts even after its client has given up
		time.Sleep(sw.AppendDelay)
	}
	s := p.stream(mux.Vars(r)["stream"])
	offset := s.append(time.Now(), data)
	s.expire(time.Now(), sw)
	if sw.losesAnswer() {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, wire.AppendResponse{Offset: offset})
}

func (p *Platform) readRecords(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		http.Error(w, "from: "+err.Error(), http.StatusBadRequest)
		return
	}
	wait, err := time.ParseDuration(r.URL.Query().Get("wait"))
	if err != nil {
		http.Error(w, "wait: "+err.Error(), http.StatusBadRequest)
		return
	}
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for waiting := true; ; {
		if p.inOutage(w, r) {
			return
		}
		sw, changed := p.board.get()
		s := p.stream(mux.Vars(r)["stream"])
		s.expire(time.Now(), sw)
		b, appended := s.read(galenastair.Offset(from))
		if galenastair.Offset(from) < b.First {
			http.Error(w, "expired", http.StatusGone)
			return
		}
		if len(b.Records) > 0 || !waiting {
			writeJSON(w, wire.ReadResponse{First: b.First, Next: b.Next, Records: b.Records})
			return
		}
		select {
		case <-appended:
		case <-changed:
		case <-deadline.C:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}
