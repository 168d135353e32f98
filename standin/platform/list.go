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

type listEntry struct {
	galenastair.ListedInstance
	lastHeartbeat time.Time
}

type listVersion struct {
	createdAt time.Time
	instances []galenastair.ListedInstance
}

// instanceList holds the registered instances, and the recent versions of the list, which
// readers see with a delay of ListLag.
type instanceList struct {
	mu       sync.Mutex
	byID     map[string]listEntry
	versions []listVersion
}

func newInstanceList() *instanceList {
	return &instanceList{byID: map[string]listEntry{}, versions: []listVersion{{}}}
}

func (l *instanceList) heartbeat(now time.Time, in galenastair.ListedInstance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	old, known := l.byID[in.ID]
	l.byID[in.ID] = listEntry{in, now}
	if !known || old.ListedInstance != in {
		l.addVersion(now)
	}
}

func (l *instanceList) deregister(now time.Time, id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.byID, id)
	l.addVersion(now)
}

func (l *instanceList) addVersion(now time.Time) {
	instances := make([]galenastair.ListedInstance, 0, len(l.byID))
	for _, in := range l.byID {
		instances = append(instances, in.ListedInstance)
	}
	slices.SortFunc(instances, func(a, b galenastair.ListedInstance) int { return cmp.Compare(a.ID, b.ID) })
	l.versions = append(l.versions, listVersion{now, instances})
}

// read returns the list as of ListLag ago. With ListFrozen it keeps returning the same
// version.
func (l *instanceList) read(now time.Time, faults Faults) []galenastair.ListedInstance {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.removeExpired(now, faults.SilentAfter)
	if faults.ListFrozen {
		return l.versions[0].instances
	}
	for len(l.versions) > 1 && now.Sub(l.versions[1].createdAt) >= faults.ListLag {
		l.versions = l.versions[1:]
	}
	return l.versions[0].instances
}

func (l *instanceList) removeExpired(now time.Time, after time.Duration) {
	dropped := false
	for id, in := range l.byID {
		if now.Sub(in.lastHeartbeat) > after {
			delete(l.byID, id)
			dropped = true
		}
	}
	if dropped {
		l.addVersion(now)
	}
}

func (p *Platform) handleListOutage(w http.ResponseWriter) bool {
	faults, _ := p.faults.get()
	if faults.ListOutage {
		http.Error(w, "outage", http.StatusServiceUnavailable)
	}
	return faults.ListOutage
}

func (p *Platform) postInstance(w http.ResponseWriter, r *http.Request) {
	var in galenastair.ListedInstance
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil || in.ID == "" || in.Address == "" {
		http.Error(w, "an instance needs an ID and an Address", http.StatusBadRequest)
		return
	}
	if p.handleListOutage(w) {
		return
	}
	p.list.heartbeat(time.Now(), in)
	writeJSON(w, struct{}{})
}

func (p *Platform) deleteInstance(w http.ResponseWriter, r *http.Request) {
	if p.handleListOutage(w) {
		return
	}
	p.list.deregister(time.Now(), mux.Vars(r)["id"])
	writeJSON(w, struct{}{})
}

// getInstances returns the list with an ETag and supports If-None-Match, so that clients
// do not transfer an unchanged list again.
func (p *Platform) getInstances(w http.ResponseWriter, r *http.Request) {
	if p.handleListOutage(w) {
		return
	}
	faults, _ := p.faults.get()
	body, err := json.Marshal(wire.ListResponse{Instances: p.list.read(time.Now(), faults)})
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
