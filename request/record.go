package request

import (
	"time"

	"galenastair"
)

// Ending is how one request ended, for metrics and the history.
type Ending struct {
	ID            galenastair.RequestID
	Organisation  galenastair.Organisation
	Model         galenastair.ModelName
	Service       galenastair.ServiceName
	BackendServer galenastair.BackendServerID
	// Code is empty for a whole answer.
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

// Recorder is told how each request ended.
type Recorder interface {
	RequestEnded(e Ending)
}

type noRecorder struct{}

func (noRecorder) RequestEnded(Ending) {}
