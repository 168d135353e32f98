package proof

import (
	"sync"
	"time"

	"galenastair"
	"galenastair/rate"
	"galenastair/standin/journal"
)

// Request is one request as its caller saw it.
type Request struct {
	ID             galenastair.RequestID
	Organisation   galenastair.Organisation
	Key            galenastair.KeyHash
	Entry          string
	Model          galenastair.ModelName
	Service        galenastair.ServiceName
	Call           string
	IdempotencyKey galenastair.IdempotencyKey
	Start          time.Time
	End            time.Time
	Status         int
	Outcome        galenastair.Outcome
	Code           galenastair.Code
	RetryAfter     string
	// Whole says that the answer came with its end mark; Right that every token was the expected one.
	Whole  bool
	Right  bool
	Tokens galenastair.Tokens
	// Refused says that no connection was made, Broken that it broke without a word.
	Refused bool
	Broken  bool
}

// served says that the caller got its whole answer.
func (r Request) served() bool { return r.Status == 200 && r.Whole }

// Fault is one thing that was done to the fleet.
type Fault struct {
	Kind   FaultKind
	Target string
	Start  time.Time
	// End is when it was over: a pause, an outage, the exit of a stopped process.
	End time.Time
	Err string
}

// during says that a fault lay in a span of time, or ended less than a margin before it.
func (f Fault) during(from, to time.Time, margin time.Duration) bool {
	return f.Start.Before(to) && f.End.Add(margin).After(from)
}

// Change is one change of configuration as its operator saw it.
type Change struct {
	Kind         galenastair.RecordKind
	Organisation galenastair.Organisation
	Key          galenastair.KeyHash
	Start        time.Time
	End          time.Time
	// Offset is the record's, Accepted its verdict; Unsure says that none was read.
	Offset   galenastair.Offset
	Accepted bool
	Unsure   bool
	// Base is the revision that it was made from.
	Base galenastair.Offset
}

// Sight is one look at an entry's status.
type Sight struct {
	Entry               string
	At                  time.Time
	Ready               bool
	HoldsLease          bool
	ConfigurationOffset galenastair.Offset
	Epoch               galenastair.Epoch
	Leader              galenastair.InstanceID
}

// Load is one look at an engine's memory.
type Load struct {
	Engine     string
	At         time.Time
	Used       galenastair.Bytes
	Total      galenastair.Bytes
	Violations int
}

// History is all that a run has recorded.
type History struct {
	Requests []Request
	Faults   []Fault
	Changes  []Change
	Sights   []Sight
	Loads    []Load
	// Runs is what the backend servers wrote down themselves.
	Runs []journal.Entry
	// Grants is what the entries wrote down of tokens granted.
	Grants []rate.Grant
}

// recorder collects a history from many goroutines.
type recorder struct {
	mu sync.Mutex
	h  History
}

func (r *recorder) request(q Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.h.Requests = append(r.h.Requests, q)
}

func (r *recorder) fault(f Fault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.h.Faults = append(r.h.Faults, f)
}

func (r *recorder) change(c Change) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.h.Changes = append(r.h.Changes, c)
}

func (r *recorder) sight(s Sight) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.h.Sights = append(r.h.Sights, s)
}

func (r *recorder) load(l Load) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.h.Loads = append(r.h.Loads, l)
}
