package galenastair

import (
	"context"
	"io"
	"net/http"
	"time"
)

// PromptPart is one part of a prompt that requests may share; parts stand in order.
type PromptPart struct {
	ID     string
	Tokens Tokens
}

// Hints are what a caller says of its request; none of them changes what it means.
type Hints struct {
	// Model is the model or adapter that must be loaded; empty for a plain service.
	Model ModelName
	// Prompt and Output count tokens; Counted says whether the caller gave them.
	Prompt  Tokens
	Output  Tokens
	Counted bool
	Parts   []PromptPart
}

// BackendCall is one request as it goes to a backend server.
type BackendCall struct {
	ID     RequestID
	Method string
	// Target is the path and query, byte for byte as the caller sent them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Expect names the backend server that alone may run it.
	Expect       BackendServerID
	Organisation Organisation
	// Left is the time that the caller still waits.
	Left time.Duration
	// Priority ranks it among the waiting ones; 0 goes first.
	Priority int
	// After is the id of the last event that the caller has; empty for a whole stream.
	After string
	// Usable is asked when a connection is there: if false, the request is not sent. Nil
	// always sends it.
	Usable func() bool
}

// BackendAnswer is the head of a backend server's answer and the stream of its body.
// Body returns io.EOF only at the end that the framing gives, and ErrAnswerCut where
// the answer breaks off. Closing Body early closes the connection, which stops the run.
type BackendAnswer struct {
	Status int
	Header http.Header
	// Declined says that the backend server itself states that it did not run the request.
	Declined bool
	// Elsewhere says that another backend server has the address, or that the model
	// is not loaded.
	Elsewhere bool
	// Limit is the requests a second that the backend server takes from all instances
	// together; 0 if it names no limit.
	Limit float64
	Body  io.ReadCloser
}

// Backend calls backend servers.
//
// An error wraps ErrNotSent when no byte of the request can have arrived, beside it
// ErrAbsent when nothing listens at the address, ErrSilent when no answer came in time, and
// ErrAnswerCut or ErrCrossed where the answer was not one.
// It never sends a request twice by itself.
type Backend interface {
	Call(ctx context.Context, address string, c BackendCall) (*BackendAnswer, error)
}

// EngineState is what a model engine says about itself.
type EngineState struct {
	// Sequence counts the orders that it accepted since its start.
	Sequence int64
	// Busy says that an order is under way.
	Busy   bool
	Models []EngineModel
	// Fetching lists adapters on their way, as MODEL/ADAPTER.
	Fetching []ModelName
}

// EngineModel is one loaded model with its adapters, named without the model.
type EngineModel struct {
	Name     ModelName
	Adapters []string
}

// EngineOrder is one instruction of the planner to a model engine.
type EngineOrder struct {
	Kind    OrderKind
	Model   ModelName
	Adapter string
	// Sequence is the count of accepted orders that the order presumes; the engine
	// refuses it at any other, so that a late order can't act after a newer one.
	Sequence int64
	Holder   string
	Fence    Fence
	Expect   BackendServerID
}

// OrderAnswer is what an engine said to an order.
type OrderAnswer int

// The answers to an order.
const (
	// OrderAccepted says that it is being carried out.
	OrderAccepted OrderAnswer = iota
	// OrderHeld says that it held already, or was done at once.
	OrderHeld
	// OrderBusy says that another order is under way, or that the sequence differs.
	OrderBusy
	// OrderFenced says that another holder has used a higher fence.
	OrderFenced
	// OrderGone says that another backend server has the address.
	OrderGone
	// OrderWrong says that the engine can't read or carry out the order.
	OrderWrong
)

// EngineControl gives orders to model engines and asks for their state.
type EngineControl interface {
	State(ctx context.Context, address string, id BackendServerID) (EngineState, error)
	// Order returns an error if no answer came: the order may act seconds later.
	Order(ctx context.Context, address string, o EngineOrder) (OrderAnswer, error)
}
