package request

import (
	"time"

	"galenastair"
)

// Summary describes a finished request for metrics.
type Ending struct {
	ID            galenastair.RequestID
	Organisation  galenastair.Organisation
	Model         galenastair.ModelName
	Service       galenastair.ServiceName
	BackendServer galenastair.BackendServerID
	// Code is empty if the response was complete.
	Code         galenastair.Code
	Outcome      galenastair.Outcome
	Queued       time.Duration
	FirstToken   time.Duration
	BetweenToken time.Duration
	Total        time.Duration
	Charged      galenastair.Tokens
	Used         galenastair.Tokens
	Attempts     int
}

// Recorder is called with the summary of each finished request.
type Recorder interface {
	RequestEnded(s Ending)
}

type nopRecorder struct{}

func (nopRecorder) RequestEnded(Ending) {}
