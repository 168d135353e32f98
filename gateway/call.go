package gateway

import (
	"net/http"
	"time"

	"galenastair"
)

// Call is one request as its caller sent it.
type Call struct {
	ID     galenastair.RequestID
	Method string
	Host   string
	// Target is path and query as sent; Path is the part before the query.
	Target string
	Path   string
	Header http.Header
	Body   []byte
	// Key is empty if the caller sent none.
	Key   galenastair.KeyHash
	Hints galenastair.Hints
	// Left is how long the caller will wait from Received on; 0 if it did not say.
	Left time.Duration
	// After is the id of the last event that the caller has of this stream.
	After    string
	Received time.Time
}

// Sink takes an answer on its way to the caller.
type Sink interface {
	// Head sends status and headers; it is called once at most. Length is that of the
	// body, or -1 if it is not known.
	Head(status int, h http.Header, length int64) error
	// Write sends a part of the body at once.
	Write(p []byte) error
}
