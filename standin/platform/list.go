package platform

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gorilla/mux"

	"galenastair"
	wire "galenastair/logservice"
)

type listed struct {
	galenastair.ListedInstance
	seen time.Time
}

type listVersion struct {
	from      time.Time
	instances []galenastair.ListedInstance
}

// instanceList keeps who has registered and the versions that lagging readers see.
type instanceList struct {
	mu       sync.Mutex
	byID     map[string]listed
	versions []listVersion
}

func newInstanceList() *instanceList {
	return &instanceList{byID: map[string]listed{}, versions: []listVersion{{}}}
}

func (l *instanceList) announce(now time.Time, in galenastair.ListedInstance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	old, known := l.byID[in.ID]
	l.byID[in.ID] = listed{in, now}
	if !known || old.ListedInstance != in {
		l.change(now)
	}
}

func (l *instanceList) withdraw(now time.Time, id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.byID, id)
	l.change(now)
}

func (l *instanceList) change(now time.Time) {
	instances := make([]galenastair.ListedInstance, 0, len(l.byID))
	for _, in := range l.byID {
		instances = append(instances, in.ListedInstance)
	}
	slices.SortFunc(instances, func(a, b galenastair.ListedInstance) int { return cmp.Compare(a.ID, b.ID) })
	l.versions = append(l.versions, listVersion{now, instances})
}

// view returns the list as it was a lag ago; frozen keeps it from moving on.
func (l *instanceList) view(now time.Time, sw Switches) []galenastair.ListedInstance {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dropSilent(now, sw.SilentAfter)
	if sw.ListFrozen {
		return l.versions[0].instances
	}
	for len(l.versions) > 1 && now.Sub(l.versions[1].from) >= sw.ListLag {
		l.versions = l.versions[1:]
	}
	return l.versions[0].instances
}

func (l *instanceList) dropSilent(now time.Time, after time.Duration) {
	dropped := false
	for id, in := range l.byID {
		if now.Sub(in.seen) > after {
			delete(l.byID, id)
			dropped = true
		}
	}
	if dropped {
		l.change(now)
	}
}

func (p *Platform) listOut(w http.ResponseWriter) bool {
	sw, _ := p.board.get()
	if sw.ListOutage {
		http.Error(w, "outage", http.StatusServiceUnavailable)
	}
	return sw.ListOutage
}

func (p *Platform) postInstance(w http.ResponseWriter, r *http.Request) {
	var in galenastair.ListedInstance
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil || in.ID == "" || in.Address == "" {
		http.Error(w, "an instance needs an ID and an Address", http.StatusBadRequest)
		return
	}
	if p.listOut(w) {
		return
	}
	p.list.announce(time.Now(), in)
	writeJSON(w, struct{}{})
}

func (p *Platform) deleteInstance(w http.ResponseWriter, r *http.Request) {
	if p.listOut(w) {
		return
	}
	p.list.withdraw(time.Now(), mux.Vars(r)["id"])
	writeJSON(w, struct{}{})
}

// getInstances gives the list a tag, by which readers need not read it again.
func (p *Platform) getInstances(w http.ResponseWriter, r *http.Request) {
	if p.listOut(w) {
		return
	}
	sw, _ := p.board.get()
	body, err := json.Marshal(wire.ListResponse{Instances: p.list.view(time.Now(), sw)})
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	tag := fmt.Sprintf("%q", strconv.FormatUint(xxhash.Sum64(body), 16))
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}
