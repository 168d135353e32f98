package replica

import (
	"encoding/json"
	"net/http"
	"sort"
	"time"
)

type orderRequest struct {
	Op       string `json:"op"`
	Model    string `json:"model"`
	Adapter  string `json:"adapter"`
	Expected *int64 `json:"expected"`
	Holder   string `json:"holder"`
	Fence    int64  `json:"fence"`
}

func (r *Replica) postOrder(w http.ResponseWriter, req *http.Request) {
	if r.rejectMisdirected(w, req) {
		return
	}
	var c orderRequest
	if json.NewDecoder(req.Body).Decode(&c) != nil || c.Holder == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	status, dropResponse := r.applyOrder(c), r.faults.DropOrderResponses
	r.mu.Unlock()
	if dropResponse {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(status)
}

// applyOrder executes an order and returns the HTTP status of the response.
func (r *Replica) applyOrder(c orderRequest) int {
	switch {
	case c.Fence < r.fence:
		return http.StatusPreconditionFailed
	case c.Expected != nil && *c.Expected != r.sequence:
		return http.StatusConflict
	}
	r.fence = c.Fence
	name := c.Model
	if c.Adapter != "" {
		name += "/" + c.Adapter
	}
	if r.isLoaded(name) == (c.Op == "load") {
		return http.StatusOK
	}
	r.sequence++
	switch {
	case c.Op == "load" && c.Adapter != "":
		if r.models[c.Model] == nil {
			return http.StatusBadRequest
		}
		r.models[c.Model][c.Adapter] = true
	case c.Op == "load":
		r.models[c.Model] = map[string]bool{}
	case c.Adapter != "":
		delete(r.models[c.Model], c.Adapter)
		return http.StatusOK
	default:
		delete(r.models, c.Model)
	}
	r.checkCapacity()
	return http.StatusAccepted
}

// checkCapacity records an order that would crash a real replica.
func (r *Replica) checkCapacity() {
	adapters := 0
	for _, held := range r.models {
		adapters += len(held)
	}
	if len(r.models) > r.settings.MaxModels || adapters > r.settings.MaxAdapters {
		r.crashReason = "order exceeds the capacity for models or adapters"
	}
}

type model struct {
	Name     string   `json:"name"`
	Version  int      `json:"version"`
	Adapters []string `json:"adapters"`
}

func (r *Replica) loadedModels() []model {
	out := []model{}
	for name, held := range r.models {
		m := model{Name: name, Version: 1, Adapters: []string{}}
		for a := range held {
			m.Adapters = append(m.Adapters, a)
		}
		sort.Strings(m.Adapters)
		out = append(out, m)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

func (r *Replica) getReport(w http.ResponseWriter, req *http.Request) {
	if r.rejectMisdirected(w, req) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"models": r.loadedModels(), "busy": false, "sequence": r.sequence, "coming": []string{}, "born": r.startedAtMillis})
}

// RegistrationTopic is the topic of the store that holds the registrations of replicas.
const RegistrationTopic = "keyed.servers"

// Registration returns the value to write to the store. Each call increments its sequence
// number.
func (r *Replica) Registration() []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.registrationSequence++
	state := "ready"
	if r.draining {
		state = "draining"
	}
	body := map[string]any{
		"service": r.settings.Service, "address": r.settings.Address, "zone": r.settings.Zone, "version": r.settings.Version,
		"slots": r.settings.Slots, "state": state, "sequence": r.registrationSequence, "born": r.startedAtMillis,
	}
	if !r.endsAt.IsZero() {
		body["leaves-ms"] = max(0, time.Until(r.endsAt).Milliseconds())
	}
	if r.settings.MaxModels > 0 {
		body["models"] = r.loadedModels()
	}
	data, err := json.Marshal(body)
	if err != nil {
		// Marshalling cannot fail: the map holds only strings, integers and lists of models.
		panic(err)
	}
	return data
}
