// Package service speaks to plain services over HTTP: any method and path, with
// the caller's body and headers but without its key, and X-Request-Id set.
//
// Errors: a call of which no byte was sent maps to ErrNotSent; an error status
// with the header X-Outcome: NotRun is the service's word that it did not run the
// call and maps to ErrDeclined; a call without an answer maps to
// ErrBackendServer, and its outcome is unknown. Any other answer is the caller's.
// A call is sent at most once, whatever its method and headers.
//
// Size: an open call holds about 10 KB of connection buffers.
package service
