package gateway

import (
	"time"

	"galenastair"
	"galenastair/admission"
	"galenastair/catalog"
)

// RequestSummary describes a finished request, for logs and metrics.
type RequestSummary struct {
	ID           galenastair.RequestID
	Organisation galenastair.Organisation
	Kind         catalog.Kind
	Route        string
	Status       int
	// Code is the error code, empty if a backend server's response was forwarded.
	Code    galenastair.Code
	Outcome galenastair.Outcome
	// Sends counts how often the request was sent to a backend server.
	Sends int
	// TimeToFirstByte is the time to the response header or first event, zero if none came.
	TimeToFirstByte time.Duration
	Duration        time.Duration
	// Complete reports whether the caller received a complete response.
	Complete bool
}

// Recorder records finished requests and retries.
type Recorder interface {
	RequestEnded(e RequestSummary)
	// Retried counts a retry and its reason.
	Retried(reason string)
	// Yielded counts a less urgent request that has waited for more urgent ones, or was refused for
	// them.
	Yielded(d admission.Decision, waited time.Duration)
}

type noRecorder struct{}

func (noRecorder) RequestEnded(RequestSummary) {}
func (noRecorder) Retried(string)              {}

func (noRecorder) Yielded(admission.Decision, time.Duration) {}
