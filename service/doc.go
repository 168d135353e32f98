// Package service is an HTTP client of plain services. It forwards any method and path,
// with the caller's body and headers but without its API key, and sets X-Request-Id.
//
// Errors: a request of which no byte was sent returns ErrNotSent. An error status with
// the header X-Outcome: NotRun means that the service did not execute the request, and
// returns ErrDeclined. A request without a response returns ErrBackendFailed, and its
// outcome is unknown. Any other response is returned as it is. A request is sent at
// most once, whatever its method and headers.
//
// Size: a request in flight uses about 10 KB of connection buffers.
package service
