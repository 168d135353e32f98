package galenastair

import (
	"context"
	"io"
	"net/http"
	"time"
)

// PromptPart is one part of a prompt that several requests may have in common.
type PromptPart struct {
	ID     string
	Tokens Tokens
}

// RequestHints describe a request for routing and admission. They come from the caller and
// don't change the meaning of the request.
type RequestHints struct {
	// Model is the model or adapter that the request needs; empty for a plain service.
	Model ModelName
	// PromptTokens and OutputTokens are valid only if HasTokenCounts is set, as the caller
	// may send no counts.
	PromptTokens   Tokens
	OutputTokens   Tokens
	HasTokenCounts bool
	// PromptParts lists the parts in the order in which they appear in the prompt.
	PromptParts []PromptPart
}

// BackendRequest is a request to a backend server.
type BackendRequest struct {
	ID     RequestID
	Method string
	// Target is the path and query, byte for byte as received from the caller.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Streamed replaces Body if the body is passed on as it arrives; nil otherwise.
	Streamed StreamedBody
	// ExpectedServer is the only backend server that may run the request. Another one that
	// has taken over the address must decline it.
	ExpectedServer BackendServerID
	// Incarnation is the start of ExpectedServer's process as last registered, as a Unix time in
	// milliseconds; 0 if it is not known.
	Incarnation int64
	// CheckIncarnation has the request sent only on a connection to that incarnation.
	CheckIncarnation bool
	Organisation     Organisation
	// Timeout is the remaining time until the caller's deadline.
	Timeout time.Duration
	// Priority orders queued requests; 0 is the highest priority and a negative value means
	// that none is sent.
	Priority int
	// LastEventID is the ID of the last event that the caller has received. If it is empty,
	// the stream starts at the first event.
	LastEventID string
	// ShouldSend is called once a connection is available. If it returns false, the request
	// is not sent. A nil function means that the request is always sent.
	ShouldSend func() bool
	// Forwarding is set if the request goes to another instance, which sends it to a backend
	// server.
	Forwarding *Forwarding
}

// StreamedBody is a request body that is read while it is sent. It can be sent only once.
type StreamedBody interface {
	io.Reader
	// Length is the declared length. Read returns an error if the body is shorter.
	Length() int64
	// Started reports whether any of it has been read.
	Started() bool
	// SetDeadline sets the time after which Read fails.
	SetDeadline(t time.Time)
}

// Forwarding is what an instance needs to know of a request that another instance forwards to it.
type Forwarding struct {
	// Key is the hash of the caller's API key, empty if it sent none.
	Key KeyHash
	// Charged is set if the cost has been deducted from the organisation's quota.
	Charged bool
	// Attempts is the number of backend servers that may still run the request.
	Attempts int
	// Version is the software version of the servers that may run it; nil for any.
	Version *SoftwareVersion
}

// BackendResponse is the header of a backend server's response and a reader of its body.
// Body returns io.EOF only at the end of the message according to the HTTP framing, and
// ErrResponseTruncated if the connection ends before. Where the message ends with its
// connection, it returns io.EOF only if the backend server is seen to run after that, and
// ErrEndUnconfirmed beside ErrResponseTruncated otherwise, with ErrServerEnded if it has
// ended. Closing Body early closes the connection, which makes the backend server cancel the
// request.
type BackendResponse struct {
	Status int
	Header http.Header
	// Declined reports whether the backend server stated that it did not run the request.
	Declined bool
	// Misdirected reports whether the request reached the wrong backend server: another
	// one has the address, or the model is not loaded.
	Misdirected bool
	// Leaving reports whether the backend server announced that it is shutting down.
	Leaving bool
	// Backoff is the time for which the backend server wants no requests from this instance; 0 if
	// it named none.
	Backoff time.Duration
	// DeclineLimit is the number of requests per second that the backend server can decline from
	// all instances together without failing; 0 if it named none.
	DeclineLimit float64
	// RateLimit is the number of requests per second that the backend server accepts from
	// all instances together; 0 if it sent no limit.
	RateLimit float64
	// CloseDelimited reports whether Body has neither a length nor chunks, and ends with its connection.
	CloseDelimited bool
	Body           io.ReadCloser
}

// Backend sends requests to backend servers. It never retries a request.
//
// An error wraps ErrNotSent if no byte of the request can have reached the backend server,
// and also ErrConnectionRefused if nothing listens on the address. It wraps
// ErrProgressTimeout if no response came in time, and ErrResponseTruncated or
// ErrInvalidResponse if the response was incomplete or not one to this request.
type Backend interface {
	Call(ctx context.Context, address string, c BackendRequest) (*BackendResponse, error)
}

// EngineState is the state that a model engine reports.
type EngineState struct {
	// Sequence is the number of orders that the engine has accepted since it started.
	Sequence int64
	// Busy reports whether the engine is executing an order.
	Busy   bool
	Models []LoadedModel
	// LoadingAdapters lists the adapters that are being loaded, as MODEL/ADAPTER.
	LoadingAdapters []ModelName
}

// LoadedModel is a loaded model with its loaded adapters. The names of the adapters have no
// MODEL/ prefix.
type LoadedModel struct {
	Name     ModelName
	Adapters []string
}

// EngineOrder is an instruction of the planner to a model engine.
type EngineOrder struct {
	Kind    OrderKind
	Model   ModelName
	Adapter string
	// ExpectedSequence must equal EngineState.Sequence, otherwise the engine refuses the
	// order. Without this check, a delayed order could take effect after a newer one.
	ExpectedSequence int64
	// Holder is the ID of the leader that sends the order.
	Holder string
	Fence  Fence
	// ExpectedServer is the only backend server that may execute the order.
	ExpectedServer BackendServerID
}

// OrderResult is an engine's response to an order.
type OrderResult int

// Results of an order.
const (
	// OrderAccepted means that the engine is executing the order.
	OrderAccepted OrderResult = iota
	// OrderDone means that the engine had already been in the requested state, or has
	// executed the order immediately.
	OrderDone
	// OrderConflict means that another order is being executed, or that
	// EngineOrder.ExpectedSequence does not match.
	OrderConflict
	// OrderStaleFence means that another holder has used a higher fencing token.
	OrderStaleFence
	// OrderMisdirected means that another backend server has the address.
	OrderMisdirected
	// OrderInvalid means that the engine can't parse or execute the order.
	OrderInvalid
)

// EngineControl sends orders to model engines and reads their state.
type EngineControl interface {
	State(ctx context.Context, address string, id BackendServerID) (EngineState, error)
	// SendOrder returns an error if it got no response. The order may then still take
	// effect, even seconds later.
	SendOrder(ctx context.Context, address string, o EngineOrder) (OrderResult, error)
}
