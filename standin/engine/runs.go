package engine

import (
	"net/http"
	"sync"

	"galenastair"
	wire "galenastair/engine"
	"galenastair/standin/journal"
)

// maxRuns limits the number of requests whose runs are counted individually.
const maxRuns = 500_000

// RunCount is the number of runs of one request.
type RunCount struct {
	ID    galenastair.RequestID
	Count int
}

// RunsResponse lists the requests that ran and counts those that carried a caller's key.
type RunsResponse struct {
	Runs []RunCount
	// Total is the number of all runs. Overflow means that Runs is incomplete.
	Total    int
	Overflow bool
	// Keys is the number of requests with an Authorization header.
	Keys int
}

// runs counts runs by request. It has a lock of its own, because handlers update it
// without holding Engine.mu.
type runs struct {
	mu                *sync.Mutex
	byID              map[galenastair.RequestID]int
	total             int
	withAuthorization int
	overflow          bool
	// journal is a file, so that the record survives the process.
	journal *journal.Journal
}

func newRuns(j *journal.Journal) runs {
	return runs{mu: &sync.Mutex{}, byID: map[galenastair.RequestID]int{}, journal: j}
}

func (r *runs) recordRun(id galenastair.RequestID) {
	r.journal.Write(journal.Entry{Request: id})
	r.mu.Lock()
	defer r.mu.Unlock()
	r.total++
	if _, ok := r.byID[id]; !ok && len(r.byID) >= maxRuns {
		r.overflow = true
		return
	}
	r.byID[id]++
}

// recordAuthorization counts requests with an Authorization header: callers' keys must
// never reach a backend server.
func (r *runs) recordAuthorization(req *http.Request) {
	if req.Header.Get("Authorization") == "" {
		return
	}
	id := galenastair.RequestID(req.Header.Get(wire.HeaderRequestID))
	r.journal.Write(journal.Entry{Request: id, KeySeen: true})
	r.mu.Lock()
	defer r.mu.Unlock()
	r.withAuthorization++
}

func (r *runs) response() RunsResponse {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := RunsResponse{Runs: make([]RunCount, 0, len(r.byID)), Total: r.total, Overflow: r.overflow, Keys: r.withAuthorization}
	for id, n := range r.byID {
		a.Runs = append(a.Runs, RunCount{id, n})
	}
	return a
}
