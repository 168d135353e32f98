package admission

import (
	"strings"
	"time"

	"galenastair"
	"galenastair/claim"
)

// Request holds the facts about a request that a decision needs.
type Request struct {
	Service galenastair.ServiceName
	// Model is empty for a service without model engines.
	Model    galenastair.ModelName
	Arrived  time.Time
	Deadline time.Time
	// TargetLatency is the longest time from the arrival to the first event that is on time.
	TargetLatency time.Duration
	// Priority is 0 for the most urgent requests.
	Priority int
	// UrgentTarget is the shortest target latency of the more urgent requests of the service, 0 if
	// there are none.
	UrgentTarget time.Duration
	// UrgentLevels is the number of more urgent priorities of the service.
	UrgentLevels int
	Organisation galenastair.Organisation
	// Rate is the organisation's contract rate, 0 if it has none.
	Rate   float64
	Digest claim.Digest
}

func (r *Request) key() key { return keyOf(r.Service, r.Model) }

// key identifies the requests that compete for the same backend servers.
type key struct {
	service galenastair.ServiceName
	model   galenastair.ModelName
}

// keyOf returns the key of the requests for a model or one of its adapters, MODEL/ADAPTER: adapters run
// on the servers that hold their model.
func keyOf(s galenastair.ServiceName, m galenastair.ModelName) key {
	base, _, _ := strings.Cut(string(m), "/")
	return key{s, galenastair.ModelName(base)}
}

// Forecast is what an instance expects of the best backend server for a request.
type Forecast struct {
	// PredictedLatency is the time to the first event if the request is sent now.
	PredictedLatency time.Duration
	// QueueTime is the part of PredictedLatency that is due to other requests. The next request at
	// the server has to wait as long.
	QueueTime time.Duration
	Server    galenastair.BackendServerID
	// Slots is the number of requests that the server answers at the same time; 1 for an engine,
	// which reads one prompt after the other.
	Slots int
	// Instances is the number of instances that send to the server.
	Instances int
	// Stale is set if the loads that the other instances report are out of date.
	Stale bool
}

// ownTime is the part of the latency that the request takes itself.
func (f Forecast) ownTime() time.Duration {
	return max(time.Millisecond, f.PredictedLatency-f.QueueTime)
}

// margin is the slack of a request in its last moment.
func (f Forecast) margin() time.Duration {
	return sendMargin + time.Duration(latencyMargin*float64(f.PredictedLatency))
}

// share is the number of such requests per second that one of the instances may send to the server if
// all of them together use its whole capacity.
func (f Forecast) share() float64 {
	return float64(max(1, f.Slots)) / float64(max(1, f.Instances)) / f.ownTime().Seconds()
}

// Action is what to do with a request.
type Action int

// The actions.
const (
	Send Action = iota
	Wait
	Refuse
)

// String returns the action's name in log lines.
func (a Action) String() string { return [...]string{"send", "wait", "refuse"}[a] }

// Reason says why a request is to be sent or refused.
type Reason string

// The reasons.
const (
	ReasonMostUrgent Reason = "no more urgent requests"
	ReasonShortQueue Reason = "the queue is short"
	ReasonReleased   Reason = "released"
	ReasonNoSlack    Reason = "no slack is left"
	ReasonYields     Reason = "more urgent requests go first"
	ReasonLate       Reason = "more urgent requests use the capacity"
	ReasonOverShare  Reason = "the organisation is over its share"
	ReasonFull       Reason = "too many requests wait"
	ReasonStopping   Reason = "the instance is stopping"
)

// Decision is the result of one evaluation of a request.
type Decision struct {
	Action Action
	Reason Reason
	// RetryAfter applies to Refuse. It is 0 if a retry would be too late as well.
	RetryAfter time.Duration
	// Best applies to Send: whether the request goes to the best server instead of the candidate.
	Best bool
	// Recheck applies to Wait: the time until the next evaluation.
	Recheck time.Duration
}

// lastMoment is when the first event of an on-time answer is due.
func (r *Request) lastMoment() time.Time { return r.Arrived.Add(r.TargetLatency) }
