package gateway

import (
	"net/http"
	"time"

	"galenastair"
	"galenastair/membudget"
)

// Request is one request as its caller sent it.
type Request struct {
	ID     galenastair.RequestID
	Method string
	Host   string
	// Target is the path and query as sent; Path is the part before the query.
	Target string
	Path   string
	Header http.Header
	Body   []byte
	// Streamed replaces Body if the body is passed on as it arrives; nil otherwise. Such a request is
	// not sent again once any of the body has been read.
	Streamed galenastair.StreamedBody
	// Key is the hash of the caller's API key, empty if it sent none.
	Key   galenastair.KeyHash
	Hints galenastair.RequestHints
	// Timeout is how long the caller waits from Received on, 0 if it did not say.
	Timeout time.Duration
	// LastEventID is the id of the last event of this stream that the caller has received.
	LastEventID string
	// Resumes is the ID of the caller's attempt that received the first event of this stream.
	Resumes  galenastair.RequestID
	Received time.Time
	// Forwarded is set if another instance has forwarded the request, and Charged if that one has
	// deducted its cost from the organisation's quota.
	Forwarded bool
	Charged   bool
	// Attempts is the number of backend servers that may run a forwarded request; 0 if its route
	// decides.
	Attempts int
	// Version is the software version that may send further events of a forwarded stream; nil for any.
	Version *galenastair.SoftwareVersion
	// Held accounts the memory that the request holds; nil without a bound.
	Held *membudget.Exchange
}

// ResponseWriter sends a response to the caller.
type ResponseWriter interface {
	// WriteHeader sends the status and headers; it is called at most once. Length is the
	// length of the body, or -1 if unknown.
	WriteHeader(status int, h http.Header, length int64) error
	// Write sends a part of the body without delay.
	Write(p []byte) error
}
