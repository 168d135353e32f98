package galenastair

import (
	"context"
	"io"
	"net/http"
)

// ServiceCall is one request to a plain service.
type ServiceCall struct {
	ID     RequestID
	Method string
	Path   string
	Query  string
	Header http.Header
	Body   []byte
}

// ServiceAnswer is the answer of a plain service; the reader closes Body.
type ServiceAnswer struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// Length is the number of bytes of Body, or -1 if the service did not say.
	Length int64
}

// Service is a plain service as the system calls it; server is its address as listed.
type Service interface {
	Call(ctx context.Context, server string, c ServiceCall) (ServiceAnswer, error)
}
