package request

import (
	"net/http"
	"time"

	"galenastair"
)

// Call is a caller's request to a model.
type Call struct {
	ID             galenastair.RequestID
	Key            galenastair.KeyHash
	IdempotencyKey galenastair.IdempotencyKey
	Model          galenastair.ModelName
	Chat           bool
	// Body is the caller's body with streaming enabled, as sent to the engine.
	Body         []byte
	Prompt       []byte
	OutputTokens galenastair.Tokens
	// Deadline is the time at which the request is abandoned.
	Deadline time.Time
}

// ServiceCall is a caller's request to a plain service, which is not a model engine.
type ServiceCall struct {
	galenastair.ServiceRequest
	Service        galenastair.ServiceName
	Key            galenastair.KeyHash
	IdempotencyKey galenastair.IdempotencyKey
	Deadline       time.Time
}

// Repeatable reports whether the call may be sent again after it may have run.
func (c ServiceCall) Repeatable() bool {
	// Only safe methods: sending a bid or an acknowledgement twice would commit
	// the caller twice. PUT is left out because a service need not implement it
	// idempotently.
	return c.IdempotencyKey == "" && (c.Method == http.MethodGet || c.Method == http.MethodHead || c.Method == http.MethodOptions)
}

// ResponseWriter receives a streamed response chunk by chunk. The last chunk is
// the end marker.
type ResponseWriter interface {
	WriteChunk(galenastair.Chunk) error
}
