package gateway

import (
	"time"

	"galenastair"
	"galenastair/catalog"
)

// Ending is how one request ended, for logs and metrics.
type Ending struct {
	ID           galenastair.RequestID
	Organisation galenastair.Organisation
	Kind         catalog.Kind
	Route        string
	Status       int
	// Code is empty for an answer of a backend server.
	Code    galenastair.Code
	Outcome galenastair.Outcome
	Sends   int
	// First is the time to the answer's head or first event, zero if none came.
	First time.Duration
	Total time.Duration
	// Whole says that the caller was given a whole answer.
	Whole bool
}

// Recorder counts how requests end.
type Recorder interface {
	RequestEnded(e Ending)
	// Retried counts one more send of a request, and why.
	Retried(reason string)
}

type noRecorder struct{}

func (noRecorder) RequestEnded(Ending) {}
func (noRecorder) Retried(string)      {}
