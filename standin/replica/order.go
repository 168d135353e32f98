package replica

import (
	"encoding/json"
	"net/http"
	"sort"
)

type orderCall struct {
	Op       string `json:"op"`
	Model    string `json:"model"`
	Adapter  string `json:"adapter"`
	Expected *int64 `json:"expected"`
	Holder   string `json:"holder"`
	Fence    int64  `json:"fence"`
}

func (r *Replica) order(w http.ResponseWriter, req *http.Request) {
	if r.elsewhere(w, req) {
		return
	}
	var c orderCall
	if json.NewDecoder(req.Body).Decode(&c) != nil || c.Holder == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	status, lose := r.take(c), r.switches.LoseOrders
	r.mu.Unlock()
	if lose {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(status)
}

// take carries an order out and returns the status of its answer.
func (r *Replica) take(c orderCall) int {
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
	if r.holds(name) == (c.Op == "load") {
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
	r.checkRoom()
	return http.StatusAccepted
}

// checkRoom notes an order that a real replica would crash of.
func (r *Replica) checkRoom() {
	adapters := 0
	for _, held := range r.models {
		adapters += len(held)
	}
	if len(r.models) > r.settings.Places || adapters > r.settings.Adapters {
		r.crashed = "ordered to hold more than it can"
	}
}

type model struct {
	Name     string   `json:"name"`
	Version  int      `json:"version"`
	Adapters []string `json:"adapters"`
}

func (r *Replica) list() []model {
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

func (r *Replica) report(w http.ResponseWriter, req *http.Request) {
	if r.elsewhere(w, req) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"models": r.list(), "busy": false, "sequence": r.sequence, "coming": []string{}})
}

// RegistrationTopic is where replicas register.
const RegistrationTopic = "keyed.servers"

// Registration returns what it writes into the store: a new one each time.
func (r *Replica) Registration() []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.beat++
	state := "ready"
	if r.draining {
		state = "draining"
	}
	body := map[string]any{
		"service": r.settings.Service, "address": r.settings.Address, "zone": r.settings.Zone, "version": "v1",
		"slots": r.settings.Slots, "state": state, "sequence": r.beat, "born": r.born,
	}
	if r.settings.Places > 0 {
		body["models"] = r.list()
	}
	data, err := json.Marshal(body)
	if err != nil {
		// the map holds nothing that can't be written
		panic(err)
	}
	return data
}
