package request

import (
	"net/http"
	"time"

	"galenastair"
)

// Call is one model request as a caller made it.
type Call struct {
	ID             galenastair.RequestID
	Key            galenastair.KeyHash
	IdempotencyKey galenastair.IdempotencyKey
	Model          galenastair.ModelName
	Chat           bool
	// Body is what the engine gets: the caller's own, with streaming asked for.
	Body         []byte
	Prompt       []byte
	OutputTokens galenastair.Tokens
	// Deadline is when the caller is no longer served.
	Deadline time.Time
}

// ServiceCall is one request to a plain service as a caller made it.
type ServiceCall struct {
	galenastair.ServiceCall
	Service        galenastair.ServiceName
	Key            galenastair.KeyHash
	IdempotencyKey galenastair.IdempotencyKey
	Deadline       time.Time
}

// Repeatable says whether the call may be sent again after it may have run.
func (c ServiceCall) Repeatable() bool {
	// only methods that change nothing: a bid or an acknowledgement sent
	// twice commits its caller twice, whatever its own service makes of PUT
	return c.IdempotencyKey == "" && (c.Method == http.MethodGet || c.Method == http.MethodHead || c.Method == http.MethodOptions)
}

// Sink takes a streamed answer, chunk by chunk; the end mark is its last chunk.
type Sink interface {
	Chunk(galenastair.Chunk) error
}
