// Package httpconn sends single HTTP/1.1 requests over a pool of persistent connections.
//
// Unlike http.Transport it never retries a request, tells whether any byte of a failed
// request may have been sent, and reuses a connection only if the peer has sent nothing
// after the response. Sizes are in bytes. Errors wrap galenastair.ErrNotSent, together with
// ErrConnectionRefused if nothing listens at the address, ErrResponseTruncated or
// ErrInvalidResponse; when the context ends, its cause is returned, for example
// galenastair.ErrProgressTimeout. An idle connection takes 6 KB of memory for its two
// buffers and no goroutine.
package httpconn
