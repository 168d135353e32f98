package galenastair

import (
	"context"
	"io"
	"time"

	"github.com/rotisserie/eris"
)

var (
	// ErrStaleFence says that an engine refused an order with an old fencing number.
	ErrStaleFence = eris.New("the engine has seen a newer fencing number")
	// ErrNotSent says that no byte of a request can have reached the backend server.
	ErrNotSent = eris.New("the request was not sent")
	// ErrAbsent says that nothing listens at the backend server's address.
	ErrAbsent = eris.New("nothing listens there")
	// ErrDeclined says that the backend server itself said that it did not run the request.
	ErrDeclined = eris.New("the backend server declined to run the request")
	// ErrStreamGone says that an engine no longer knows the stream that was to be resumed.
	ErrStreamGone = eris.New("the stream can no longer be resumed")
	// ErrSilent says that a connection made no progress within its timer.
	ErrSilent = eris.New("the connection went silent")
	// ErrCrossed says that an answer belonged to another request or skipped tokens.
	ErrCrossed = eris.New("the answer does not belong to the request")
)

// Completion is one model request as an entry sends it to an engine.
type Completion struct {
	ID       RequestID
	Model    ModelName
	Chat     bool
	Body     []byte
	Priority int
}

// Chunk is one event of a streamed answer.
type Chunk struct {
	// Sequence counts the events of one answer from 1.
	Sequence int64
	Data     []byte
	// End is set on the end mark alone; an answer without it is not whole.
	End bool
}

// AnswerStream is a streamed answer; Next returns io.EOF only after the end mark.
type AnswerStream interface {
	Next() (Chunk, error)
	io.Closer
}

// OrderKind says what an order makes an engine do.
type OrderKind string

// The kinds of order.
const (
	LoadModel   OrderKind = "LoadModel"
	UnloadModel OrderKind = "UnloadModel"
	ChangeRole  OrderKind = "ChangeRole"
)

// Order is one instruction from the leader to an engine.
type Order struct {
	ID            OrderID
	Fence         Fence
	BackendServer BackendServerID
	Kind          OrderKind
	Weight        Weight
	EngineRole    string
}

// LoadState says how far an engine is with a model or adapter.
type LoadState string

// The states of a model or adapter on an engine.
const (
	Loading   LoadState = "Loading"
	Ready     LoadState = "Ready"
	Unloading LoadState = "Unloading"
)

// LoadedWeight is one model or adapter that an engine reports.
type LoadedWeight struct {
	Weight Weight
	State  LoadState
	Order  OrderID
}

// EngineReport is what an engine says about itself, with a lag.
type EngineReport struct {
	BackendServer BackendServerID
	// Age is how old the figures were when the engine gave them.
	Age           time.Duration
	MemoryTotal   Bytes
	MemoryUsed    Bytes
	Running       int
	Waiting       int
	CacheUsed     Bytes
	HighestFence  Fence
	ChecksFence   bool
	FinishedOrder []OrderID
	Loaded        []LoadedWeight
}

// CacheEvent tells that an engine has cached or dropped a prompt prefix; events come late and with gaps.
type CacheEvent struct {
	Sequence int64
	Model    ModelName
	Prefix   uint64
	Dropped  bool
}

// Engine is a model engine as the system calls it; server is its address as listed.
type Engine interface {
	// Complete starts a request; its error wraps ErrNotSent or ErrDeclined when it certainly did not run.
	Complete(ctx context.Context, server string, c Completion) (AnswerStream, error)
	// Resume continues an answer after the given sequence on a new connection.
	Resume(ctx context.Context, server string, id RequestID, after int64) (AnswerStream, error)
	Cancel(ctx context.Context, server string, id RequestID) error
	Order(ctx context.Context, server string, o Order) error
	Report(ctx context.Context, server string) (EngineReport, error)
	CacheEvents(ctx context.Context, server string, after int64) ([]CacheEvent, error)
}
