package proof

import (
	"sync"
	"time"

	"galenastair"
	"galenastair/rate"
	"galenastair/standin/journal"
)

// Request is one request as observed by its caller.
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
	// Complete is set if the answer arrived with its end marker, Correct if every token
	// was the expected one.
	Complete bool `json:"Whole"`
	Correct  bool `json:"Right"`
	Tokens   galenastair.Tokens
	// ConnectionRefused is set if no connection was made, ConnectionBroken if the
	// connection ended without a complete answer or an error response.
	ConnectionRefused bool `json:"Refused"`
	ConnectionBroken  bool `json:"Broken"`
}

// served reports whether the caller got a complete answer.
func (r Request) served() bool { return r.Status == 200 && r.Complete }

// Fault is one fault that was injected. Err is set if it could not be
// injected or ended.
type Fault struct {
	Kind   FaultKind
	Target string
	Start  time.Time
	// End is when the fault was over: the end of a pause or an outage, or the exit of
	// a process that was stopped.
	End time.Time
	Err string
}

// overlaps reports whether a fault overlapped a period, or ended less than margin
// before it.
func (f Fault) overlaps(from, to time.Time, margin time.Duration) bool {
	return f.Start.Before(to) && f.End.Add(margin).After(from)
}

// Change is one change of the configuration as observed by its operator.
type Change struct {
	Kind         galenastair.RecordKind
	Organisation galenastair.Organisation
	Key          galenastair.KeyHash
	Start        time.Time
	End          time.Time
	// Offset and Accepted are the offset and the outcome of the published record.
	// OutcomeUnknown is set if the outcome could not be read.
	Offset         galenastair.Offset
	Accepted       bool
	OutcomeUnknown bool `json:"Unsure"`
	// BaseOffset is the revision that the change was made from.
	BaseOffset galenastair.Offset `json:"Base"`
}

// StatusSample is the status of an entry at one time.
type StatusSample struct {
	Entry               string
	At                  time.Time
	Ready               bool
	HoldsLease          bool
	ConfigurationOffset galenastair.Offset
	Epoch               galenastair.Epoch
	Leader              galenastair.InstanceID
}

// MemorySample is the memory use of an engine at one time.
type MemorySample struct {
	Engine     string
	At         time.Time
	Used       galenastair.Bytes
	Total      galenastair.Bytes
	Violations int
}

// History is everything that was recorded in a run.
type History struct {
	Requests      []Request
	Faults        []Fault
	Changes       []Change
	StatusSamples []StatusSample `json:"Sights"`
	MemorySamples []MemorySample `json:"Loads"`
	// Runs is read from the journals of the backend servers.
	Runs []journal.Entry
	// Grants is read from the files in which the entries record granted tokens.
	Grants []rate.Grant
}

// recorder collects a history; its methods may be called concurrently.
type recorder struct {
	mu      sync.Mutex
	history History
}

func (r *recorder) addRequest(q Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Requests = append(r.history.Requests, q)
}

func (r *recorder) addFault(f Fault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Faults = append(r.history.Faults, f)
}

func (r *recorder) addChange(c Change) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Changes = append(r.history.Changes, c)
}

func (r *recorder) addStatusSample(s StatusSample) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.StatusSamples = append(r.history.StatusSamples, s)
}

func (r *recorder) addMemorySample(l MemorySample) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.MemorySamples = append(r.history.MemorySamples, l)
}
