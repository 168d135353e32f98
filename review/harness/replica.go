package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// run is one request that a replica has begun to run.
type run struct {
	id, target, server string
	at                 time.Time
}

// replica is a stand-in of a backend server, either a plain service or an engine that holds one model.
type replica struct {
	rec                    *recorder
	store                  *store
	service, zone, version string
	model                  string
	work, eventInterval    time.Duration
	events                 int
	crashBody, crashPart   string
	downTime               time.Duration
	address                string
	// observeCrash is called with each request that crashes the replica.
	observeCrash func(run)

	mu       sync.Mutex
	id       string
	born     int64
	sequence int64
	orders   int64
	// registered is cleared once the entry has been removed for good.
	registered bool
	state      string
	up         bool
	server     *http.Server
	stopBeats  chan struct{}
}

// start begins an incarnation of the replica.
func (p *replica) start(id string) error {
	if p.address == "" {
		p.address = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", p.address)
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.address = l.Addr().String()
	p.id, p.born, p.sequence, p.orders = id, time.Now().UnixMilli(), 0, 0
	p.registered, p.up, p.state = true, true, "ready"
	p.server = &http.Server{Handler: http.HandlerFunc(p.serve)}
	p.stopBeats = make(chan struct{})
	server, stop := p.server, p.stopBeats
	p.mu.Unlock()
	p.rec.logf("server %s (%s, %s) starts at %s", id, p.service, p.version, p.address)
	go func() { _ = server.Serve(l) }()
	go p.beat(stop)
	return nil
}

func (p *replica) beat(stop chan struct{}) {
	for {
		p.register()
		select {
		case <-time.After(heartbeatInterval):
		case <-stop:
			return
		}
	}
}

func (p *replica) register() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.registered || !p.up {
		return
	}
	p.sequence++
	entry := map[string]any{"service": p.service, "address": p.address, "zone": p.zone, "version": p.version, "slots": 8,
		"state": p.state, "cold-left-ms": 0, "sequence": p.sequence, "born": p.born}
	if p.model != "" {
		entry["stage"] = "both"
		entry["models"] = p.models()
	}
	data, _ := json.Marshal(entry)
	p.store.put("keyed.servers", p.id, data)
}

func (p *replica) models() []map[string]any {
	return []map[string]any{{"name": p.model, "version": 1, "adapters": []string{}}}
}

// leaveUnannounced removes the entry; the replica goes on serving.
func (p *replica) leaveUnannounced() {
	p.mu.Lock()
	p.registered = false
	id := p.id
	p.mu.Unlock()
	p.rec.logf("the entry of server %s is removed; it goes on serving", id)
	p.store.put("keyed.servers", id, nil)
}

// drain registers the replica as draining; it goes on serving.
func (p *replica) drain() {
	p.mu.Lock()
	p.state = "draining"
	p.mu.Unlock()
	p.rec.logf("server %s is draining", p.id)
	p.register()
}

func (p *replica) setWork(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.work = d
}

// end ends the replica: its connections close at once.
func (p *replica) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.up {
		return
	}
	p.up = false
	close(p.stopBeats)
	_ = p.server.Close()
}

// crash ends the incarnation. The next one starts after downTime under a new id; the entry of the old one
// goes after three heartbeats of silence.
func (p *replica) crash() {
	p.mu.Lock()
	id := p.id
	p.mu.Unlock()
	p.rec.logf("server %s crashes", id)
	p.end()
	time.AfterFunc(3*heartbeatInterval, func() { p.store.put("keyed.servers", id, nil) })
	time.AfterFunc(p.downTime, func() {
		base, n, _ := strings.Cut(id, ".")
		generation, _ := strconv.Atoi(n)
		for range 50 {
			if p.start(fmt.Sprintf("%s.%d", base, generation+1)) == nil {
				return
			}
			time.Sleep(20 * time.Millisecond)
		}
	})
}

func (p *replica) serve(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	id, up, work := p.id, p.up, p.work
	p.mu.Unlock()
	if !up {
		panic(http.ErrAbortHandler)
	}
	if expected := r.Header.Get("Galenastair-Expect-Instance"); expected != "" && expected != id {
		w.Header().Set("Galenastair-Instance-Id", id)
		w.Header().Set("Galenastair-Attempt-Id", r.Header.Get("Galenastair-Attempt-Id"))
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	switch r.URL.Path {
	case "/v1/order":
		p.serveOrder(w, body)
		return
	case "/v1/report":
		p.mu.Lock()
		orders := p.orders
		p.mu.Unlock()
		writeJSON(w, http.StatusOK, map[string]any{"stage": "both", "models": p.models(), "busy": false, "sequence": orders, "waiting": 0,
			"running": 0, "kv-used": 0, "kv-total": 100000, "handles": 0})
		return
	}
	p.runRequest(w, r, id, work, body)
}

// serveOrder accepts the load of the model that is held already, and refuses all else as busy.
func (p *replica) serveOrder(w http.ResponseWriter, body []byte) {
	var order struct {
		Op    string `json:"op"`
		Model string `json:"model"`
	}
	_ = json.Unmarshal(body, &order)
	p.rec.logf("order at %s: %s", p.id, body)
	if order.Op == "load" && order.Model == p.model {
		w.WriteHeader(http.StatusOK)
		return
	}
	w.WriteHeader(http.StatusConflict)
}

// hasPart reports whether a prompt has the part in any place but the last.
func hasPart(prefix, part string) bool {
	parts := strings.Split(prefix, ",")
	for _, one := range parts[:len(parts)-1] {
		if part != "" && strings.HasPrefix(one, part+":") {
			return true
		}
	}
	return false
}

func (p *replica) runRequest(w http.ResponseWriter, r *http.Request, id string, work time.Duration, body []byte) {
	attempt := r.Header.Get("Galenastair-Attempt-Id")
	p.rec.logf("server %s (%s) runs %s %s, last event id %q", id, p.version, attempt, r.RequestURI, r.Header.Get("Last-Event-Id"))
	if p.crashBody != "" && string(body) == p.crashBody || hasPart(r.Header.Get("Galenastair-Prompt-Prefix"), p.crashPart) {
		p.observeCrash(run{id: attempt, target: r.RequestURI, server: id, at: time.Now()})
		p.crash()
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Galenastair-Attempt-Id", attempt)
	w.Header().Set("Galenastair-Server-Signature", "sig."+id+"."+attempt)
	if p.events > 0 {
		p.stream(w, r, id)
		return
	}
	select {
	case <-time.After(work):
	case <-r.Context().Done():
		return
	}
	fmt.Fprintf(w, "answer of %s to %s", id, attempt)
}

// stream sends the events after the one that the client has.
func (p *replica) stream(w http.ResponseWriter, r *http.Request, id string) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Galenastair-Weight-Versions", "1")
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for n := last + 1; n <= p.events; n++ {
		select {
		case <-time.After(p.eventInterval):
		case <-r.Context().Done():
			return
		}
		fmt.Fprintf(w, "id: %d\ndata: piece %d of %s by %s\n\n", n, n, p.version, id)
		_ = http.NewResponseController(w).Flush()
	}
}
