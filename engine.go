package galenastair

import (
	"context"
	"io"
	"time"

	"github.com/rotisserie/eris"
)

var (
	// ErrStaleFence means that an engine refused an order because its fencing token is lower
	// than one that the engine has already accepted.
	ErrStaleFence = eris.New("the engine has seen a newer fencing number")
	// ErrNotSent means that no byte of a request can have reached the backend server.
	ErrNotSent = eris.New("the request was not sent")
	// ErrConnectionRefused means that nothing listens on the backend server's address.
	ErrConnectionRefused = eris.New("nothing listens there")
	// ErrDeclined means that the backend server stated that it did not run the request.
	ErrDeclined = eris.New("the backend server declined to run the request")
	// ErrStreamNotFound means that an engine does not know, or no longer knows, the stream to
	// resume or cancel.
	ErrStreamNotFound = eris.New("the stream can no longer be resumed")
	// ErrProgressTimeout means that a connection made no progress within its timeout.
	ErrProgressTimeout = eris.New("the connection went silent")
	// ErrBodyTruncated means that the body of a request broke off while it was passed on.
	ErrBodyTruncated = eris.New("the body of the request broke off")
	// ErrInvalidResponse means that a response belongs to another request, skips events or has
	// no usable body.
	ErrInvalidResponse = eris.New("the answer does not belong to the request")
)

// Completion is a model request that an entry instance sends to an engine.
type Completion struct {
	ID       RequestID
	Model    ModelName
	Chat     bool
	Body     []byte
	Priority int
}

// Chunk is one event of a streamed response.
type Chunk struct {
	// Sequence numbers the events of a response, starting at 1.
	Sequence int64
	Data     []byte
	// End is set on the final event only. A response without a final event is incomplete.
	End bool
}

// ResponseStream reads a streamed response. Next returns io.EOF only after the final event.
type ResponseStream interface {
	Next() (Chunk, error)
	io.Closer
}

// OrderKind is the action that an order requests.
type OrderKind string

// Kinds of orders.
const (
	LoadModel   OrderKind = "LoadModel"
	UnloadModel OrderKind = "UnloadModel"
	ChangeRole  OrderKind = "ChangeRole"
)

// Order is an instruction from the leader to an engine.
type Order struct {
	ID            OrderID
	Fence         Fence
	BackendServer BackendServerID
	Kind          OrderKind
	Weight        ModelWeights
	EngineRole    string
}

// LoadState is the loading state of a model or adapter on an engine.
type LoadState string

// Loading states.
const (
	LoadStateLoading   LoadState = "Loading"
	LoadStateReady     LoadState = "Ready"
	LoadStateUnloading LoadState = "Unloading"
)

// LoadedWeights is a model or adapter that an engine reports, with its loading state.
type LoadedWeights struct {
	Weight ModelWeights
	State  LoadState
	Order  OrderID
}

// EngineReport is an engine's report on its own state. It may be out of date, see Age.
type EngineReport struct {
	BackendServer BackendServerID
	// Age is the age of the values at the time when the engine sent them.
	Age            time.Duration
	MemoryTotal    Bytes
	MemoryUsed     Bytes
	Running        int
	Waiting        int
	CacheUsed      Bytes
	HighestFence   Fence
	ChecksFence    bool
	FinishedOrders []OrderID `json:"FinishedOrder"`
	Loaded         []LoadedWeights
}

// CacheEvent reports that an engine has added a prompt prefix to its cache or evicted it. Events
// may arrive late, and some may be missing.
type CacheEvent struct {
	Sequence int64
	Model    ModelName
	Prefix   uint64
	Evicted  bool `json:"Dropped"`
}

// Engine is a client of model engines. The server arguments are addresses from the InstanceList.
type Engine interface {
	// Complete starts a request. Its error wraps ErrNotSent or ErrDeclined only if the request
	// cannot have run.
	Complete(ctx context.Context, server string, c Completion) (ResponseStream, error)
	// Resume opens a new connection and continues a response after the given sequence.
	Resume(ctx context.Context, server string, id RequestID, after int64) (ResponseStream, error)
	Cancel(ctx context.Context, server string, id RequestID) error
	SendOrder(ctx context.Context, server string, o Order) error
	Report(ctx context.Context, server string) (EngineReport, error)
	CacheEvents(ctx context.Context, server string, after int64) ([]CacheEvent, error)
}
