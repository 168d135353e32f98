package engine

import (
	"net/http"
	"sync"

	"galenastair"
	wire "galenastair/engine"
	"galenastair/standin/journal"
)

// maxRuns bounds the requests whose runs are counted one by one.
const maxRuns = 500_000

// Run says how often one request ran.
type Run struct {
	ID    galenastair.RequestID
	Count int
}

// RunsAnswer tells what an engine ran and whether it was ever shown a key.
type RunsAnswer struct {
	Runs []Run
	// Total counts all runs; Overflow says that Runs does not name them all.
	Total    int
	Overflow bool
	// Keys counts requests that came with an Authorization header.
	Keys int
}

// runs has its own lock, as handlers count without the engine's.
type runs struct {
	mu    *sync.Mutex
	byID  map[galenastair.RequestID]int
	total int
	keys  int
	over  bool
	// journal outlives the process.
	journal *journal.Journal
}

func newRuns(j *journal.Journal) runs {
	return runs{mu: &sync.Mutex{}, byID: map[galenastair.RequestID]int{}, journal: j}
}

func (r *runs) count(id galenastair.RequestID) {
	r.journal.Write(journal.Entry{Request: id})
	r.mu.Lock()
	defer r.mu.Unlock()
	r.total++
	if _, ok := r.byID[id]; !ok && len(r.byID) >= maxRuns {
		r.over = true
		return
	}
	r.byID[id]++
}

// see counts a request that shows a key, which no backend server may see.
func (r *runs) see(req *http.Request) {
	if req.Header.Get("Authorization") == "" {
		return
	}
	id := galenastair.RequestID(req.Header.Get(wire.HeaderRequestID))
	r.journal.Write(journal.Entry{Request: id, KeySeen: true})
	r.mu.Lock()
	defer r.mu.Unlock()
	r.keys++
}

func (r *runs) answer() RunsAnswer {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := RunsAnswer{Runs: make([]Run, 0, len(r.byID)), Total: r.total, Overflow: r.over, Keys: r.keys}
	for id, n := range r.byID {
		a.Runs = append(a.Runs, Run{id, n})
	}
	return a
}
