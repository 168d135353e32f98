package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const heartbeat = 1200 * time.Millisecond

// replica is a stand-in of a backend server. Its behaviour is that of a sound one unless a case sets more.
type replica struct {
	w                          *world
	service, zone, version, id string
	// models are those that it holds, loadTime the time of a load, and room how many models fit.
	models       []string
	loadTime     time.Duration
	room         int
	slots, queue int
	// first is the time to the first event or to the answer, and gap that between events.
	first, gap time.Duration
	// streams has a replica without models answer with streams.
	streams bool
	// pieces, if not 0, has a replica without models send answers of so many pieces, gap apart, that have
	// neither a length nor chunks and end with their connection.
	pieces int
	// extra adds headers to every answer.
	extra func(http.Header)
	// declined is called with each request that is rejected for want of room.
	declined func(*replica)

	mu       sync.Mutex
	born     int64
	address  string
	server   *http.Server
	running  int
	waiting  int
	free     chan struct{}
	sequence int64
	orders   int64
	fence    int64
	busy     bool
	unframed map[net.Conn]bool
	stop     chan struct{}
	up       bool
}

// open starts a new incarnation with a new id at a new address.
func (r *replica) open() error {
	address, err := freePort()
	if err != nil {
		return err
	}
	return r.openAt("i-"+newID(), address)
}

// restart ends the process at once and starts it again under the same id and address, with another version.
func (r *replica) restart(version string, down time.Duration) error {
	r.mu.Lock()
	r.up = false
	server, stop := r.server, r.stop
	r.mu.Unlock()
	close(stop)
	// nothing may be accepted any more when the first answer breaks off
	_ = server.Close()
	r.mu.Lock()
	for c := range r.unframed {
		_ = c.Close()
	}
	r.mu.Unlock()
	time.Sleep(down)
	r.mu.Lock()
	r.version = version
	r.mu.Unlock()
	return r.openAt(r.id, r.address)
}

func (r *replica) openAt(id, address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.id, r.born, r.address, r.sequence = id, time.Now().UnixMilli(), address, 0
	r.orders, r.fence, r.busy, r.unframed = 0, 0, false, map[net.Conn]bool{}
	r.running, r.waiting, r.free, r.stop, r.up = 0, 0, make(chan struct{}, r.slots), make(chan struct{}), true
	for range r.slots {
		r.free <- struct{}{}
	}
	r.server = &http.Server{Handler: http.HandlerFunc(r.serve)}
	server, stop := r.server, r.stop
	r.mu.Unlock()
	go func() { _ = server.Serve(l) }()
	if err := r.register("ready"); err != nil {
		return err
	}
	go func() {
		t := time.NewTicker(heartbeat)
		defer t.Stop()
		for {
			select {
			case <-t.C:
				_ = r.register("ready")
			case <-stop:
				return
			}
		}
	}()
	r.w.logf("replica %s (%s %s) starts at %s", r.id, r.service, r.version, r.address)
	return nil
}

// crash closes all connections at once. The registration ends after three heartbeats.
func (r *replica) crash() {
	r.mu.Lock()
	if !r.up {
		r.mu.Unlock()
		return
	}
	r.up = false
	server, stop, id := r.server, r.stop, r.id
	r.mu.Unlock()
	close(stop)
	_ = server.Close()
	r.w.logf("replica %s falls over", id)
	time.AfterFunc(3*heartbeat, func() { _ = r.w.put("keyed.servers", id, nil) })
}

func (r *replica) register(state string) error {
	r.mu.Lock()
	r.sequence++
	e := map[string]any{"service": r.service, "address": r.address, "zone": r.zone, "version": r.version, "slots": r.slots, "state": state,
		"cold-left-ms": 0, "sequence": r.sequence, "born": r.born}
	if r.isEngine() {
		e["stage"], e["models"] = "both", r.modelList()
	}
	id := r.id
	r.mu.Unlock()
	data, err := json.Marshal(e)
	if err != nil {
		return err
	}
	return r.w.put("keyed.servers", id, data)
}

func (r *replica) modelList() []any {
	out := []any{}
	for _, m := range r.models {
		out = append(out, map[string]any{"name": m, "version": 1, "adapters": []string{}})
	}
	return out
}

func (r *replica) isEngine() bool { return r.room > 0 }

func (r *replica) holds(model string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Contains(r.models, model)
}

// order carries out an order to load or unload a model, and returns the status of the answer.
func (r *replica) order(req *http.Request) int {
	var o struct {
		Op, Model, Adapter, Holder string
		Expected                   *int64
		Fence                      int64
	}
	if err := json.NewDecoder(req.Body).Decode(&o); err != nil || o.Holder == "" || o.Fence == 0 || o.Adapter != "" {
		return http.StatusBadRequest
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	held := slices.Contains(r.models, o.Model)
	status := http.StatusAccepted
	switch {
	case o.Fence < r.fence:
		status = http.StatusPreconditionFailed
	case held == (o.Op == "load"):
		status = http.StatusOK
	case r.busy, o.Expected != nil && *o.Expected != r.orders:
		status = http.StatusConflict
	case o.Op == "load":
		r.orders++
		r.busy = true
		if len(r.models) >= r.room {
			r.w.logf("replica %s is ordered to load more than it holds", r.id)
		}
		born := r.born
		time.AfterFunc(r.loadTime, func() { r.loaded(born, o.Model) })
	default:
		r.orders++
		r.busy = true
		go r.unload(r.born, o.Model)
	}
	r.fence = max(r.fence, o.Fence)
	r.w.logf("order %s %s to %s (%s) by %s, fence %d: %d", o.Op, o.Model, r.id, r.version, o.Holder, o.Fence, status)
	return status
}

// unload drops a model once nothing runs.
func (r *replica) unload(born int64, model string) {
	for {
		r.mu.Lock()
		if r.born != born || !r.up || r.running == 0 {
			break
		}
		r.mu.Unlock()
		time.Sleep(20 * time.Millisecond)
	}
	defer r.mu.Unlock()
	if r.born == born {
		r.busy = false
		r.models = slices.DeleteFunc(r.models, func(m string) bool { return m == model })
	}
}

func (r *replica) loaded(born int64, model string) {
	r.mu.Lock()
	if r.born != born || !r.up {
		r.mu.Unlock()
		return
	}
	r.busy = false
	r.models = append(r.models, model)
	r.mu.Unlock()
	_ = r.register("ready")
}

func (r *replica) head(w http.ResponseWriter, req *http.Request) {
	if id := req.Header.Get("Galenastair-Attempt-Id"); id != "" {
		w.Header().Set("Galenastair-Attempt-Id", id)
	}
	w.Header().Set("Galenastair-Instance-Id", r.id)
	if r.extra != nil {
		r.extra(w.Header())
	}
}

func (r *replica) serve(w http.ResponseWriter, req *http.Request) {
	r.head(w, req)
	if e := req.Header.Get("Galenastair-Expect-Instance"); e != "" && e != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch req.URL.Path {
	case "/v1/report":
		if !r.isEngine() {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		r.mu.Lock()
		v := map[string]any{"stage": "both", "models": r.modelList(), "busy": r.busy, "sequence": r.orders, "waiting": r.waiting, "running": r.running, "kv-used": 0, "kv-total": 140000, "handles": 0, "born": r.born}
		r.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(v)
		return
	case "/v1/order":
		w.WriteHeader(r.order(req))
		return
	}
	if m := req.Header.Get("Galenastair-Model"); m != "" && !r.holds(m) {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, req.Body)
	entered, left := r.enter(req)
	if left {
		// a caller that has left was not turned away for want of room
		panic(http.ErrAbortHandler)
	}
	if !entered {
		w.Header().Set("Galenastair-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		if r.declined != nil {
			r.declined(r)
		}
		return
	}
	defer r.leave()
	r.w.logf("run %s at %s %s after %q", req.Header.Get("Galenastair-Attempt-Id"), r.id, r.version, req.Header.Get("Last-Event-Id"))
	w.Header().Set("Galenastair-Server-Signature", "sig-"+r.id)
	if r.isEngine() || r.streams {
		r.stream(w, req)
		return
	}
	if r.pieces > 0 {
		r.sendUnframed(w, req)
		return
	}
	if !wait(req, r.first) {
		return
	}
	fmt.Fprintf(w, "answer of %s to %s\n", r.id, req.Header.Get("Galenastair-Attempt-Id"))
}

// lastPiece ends each answer of pieces.
const lastPiece = "the last piece\n"

func (r *replica) sendUnframed(w http.ResponseWriter, req *http.Request) {
	head := "HTTP/1.1 200 OK\r\n"
	for name := range w.Header() {
		head += name + ": " + w.Header().Get(name) + "\r\n"
	}
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer c.Close()
	r.mu.Lock()
	if !r.up {
		r.mu.Unlock()
		return
	}
	r.unframed[c] = true
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		delete(r.unframed, c)
		r.mu.Unlock()
	}()
	time.Sleep(r.first)
	if _, err := io.WriteString(c, head+"\r\n"); err != nil {
		return
	}
	for i := range r.pieces {
		piece := fmt.Sprintf("piece %d of %s\n", i+1, req.Header.Get("Galenastair-Attempt-Id"))
		if i == r.pieces-1 {
			piece = lastPiece
		}
		if _, err := io.WriteString(c, piece); err != nil {
			return
		}
		time.Sleep(r.gap)
	}
}

// enter takes a slot, or waits for one. It reports whether the request has one, and whether the caller has left.
func (r *replica) enter(req *http.Request) (entered, left bool) {
	r.mu.Lock()
	free := r.free
	select {
	case <-free:
		r.running++
		r.mu.Unlock()
		return true, false
	default:
	}
	if r.waiting >= r.queue {
		r.mu.Unlock()
		return false, false
	}
	r.waiting++
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		r.waiting--
		r.mu.Unlock()
	}()
	select {
	case <-free:
		r.mu.Lock()
		r.running++
		r.mu.Unlock()
		return true, false
	case <-req.Context().Done():
		return false, true
	}
}

func (r *replica) leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running--
	select {
	case r.free <- struct{}{}:
	default:
	}
}

func wait(req *http.Request, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-req.Context().Done():
		return false
	}
}

// tokensPerEvent is the number of tokens in an event of a stream.
const tokensPerEvent = 2

// stream sends the events after Last-Event-Id; their number follows from the tokens that the caller asks for.
func (r *replica) stream(w http.ResponseWriter, req *http.Request) {
	_, out, _ := strings.Cut(req.Header.Get("Galenastair-Token-Usage"), ",")
	tokens, _ := strconv.Atoi(out)
	from, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	flush := http.NewResponseController(w)
	_ = flush.Flush()
	delay := r.first
	r.mu.Lock()
	version := r.version
	r.mu.Unlock()
	for i := from + 1; i <= tokens/tokensPerEvent; i++ {
		if !wait(req, delay) {
			return
		}
		delay = r.gap
		fmt.Fprintf(w, "id: %d\ndata: %s of %s\n\n", i, version, r.id)
		if flush.Flush() != nil {
			return
		}
	}
}
