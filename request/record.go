package request

import (
	"time"

	"galenastair"
)

// Summary describes a finished request for metrics.
type Summary struct {
	ID            galenastair.RequestID
	Organisation  galenastair.Organisation
	Model         galenastair.ModelName
	Service       galenastair.ServiceName
	BackendServer galenastair.BackendServerID
	// Code is empty if the response was complete.
	Code              galenastair.Code
	Outcome           galenastair.Outcome
	QueueTime         time.Duration
	TimeToFirstToken  time.Duration
	InterTokenLatency time.Duration
	Duration          time.Duration
	Charged           galenastair.Tokens
	Used              galenastair.Tokens
	Attempts          int
}

// Recorder is called with the summary of each finished request.
type Recorder interface {
	RequestEnded(s Summary)
}

type nopRecorder struct{}

func (nopRecorder) RequestEnded(Summary) {}
