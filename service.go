package galenastair

import (
	"context"
	"io"
	"net/http"
)

// ServiceRequest is a request to a plain service.
type ServiceRequest struct {
	ID     RequestID
	Method string
	Path   string
	Query  string
	Header http.Header
	Body   []byte
}

// ServiceResponse is the response of a plain service. The receiver must close Body.
type ServiceResponse struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// ContentLength is the length of Body in bytes, or -1 if it is unknown.
	ContentLength int64
}

// Service is a client of plain services. The server argument is an address from the InstanceList.
type Service interface {
	Call(ctx context.Context, server string, c ServiceRequest) (ServiceResponse, error)
}
