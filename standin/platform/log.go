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

// handleOutage applies a log outage to a request and reports whether it has responded.
// A request that hung is dropped when the outage ends. Otherwise it would take effect or
// not depending on how soon the server detects that the client has disconnected.
func (p *Platform) handleOutage(w http.ResponseWriter, r *http.Request) bool {
	for hung := false; ; hung = true {
		faults, changed := p.faults.get()
		switch faults.Outage {
		case OutageNone:
			if hung {
				panic(http.ErrAbortHandler)
			}
			return false
		case OutageRefuse:
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
	if p.handleOutage(w, r) {
		return
	}
	faults, _ := p.faults.get()
	if !p.allowAppend(faults) {
		http.Error(w, "too many appends", http.StatusTooManyRequests)
		return
	}
	if faults.AppendDelay > 0 {
		// The sleep ignores the request's context: a delayed append takes effect even after
		// its client has timed out.
		time.Sleep(faults.AppendDelay)
	}
	s := p.stream(mux.Vars(r)["stream"])
	offset := s.append(time.Now(), data)
	s.expire(time.Now(), faults)
	if faults.losesResponse() {
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
		if p.handleOutage(w, r) {
			return
		}
		faults, changed := p.faults.get()
		s := p.stream(mux.Vars(r)["stream"])
		s.expire(time.Now(), faults)
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
