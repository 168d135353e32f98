package caller

import (
	"time"

	"galenastair"
)

// Limits bounds the resources that one request may use on an entry instance.
type Limits struct {
	// MaxHeaderBytes and MaxBodyBytes keep a few large requests from using up the memory
	// of a small instance.
	MaxHeaderBytes int
	MaxBodyBytes   int64
	// ReadHeaderTimeout closes connections whose request header is not received in time.
	ReadHeaderTimeout time.Duration
	// RequestTimeout bounds the time from the end of the request body to the end of the
	// response.
	RequestTimeout time.Duration
	// PingPeriod is how long a stream may be idle before a comment is sent, so that
	// neither end takes the connection to a slow model for dead.
	PingPeriod time.Duration
	// DefaultOutputTokens applies to requests without max_tokens.
	DefaultOutputTokens galenastair.Tokens
	MaxOutputTokens     galenastair.Tokens
}

// DefaultLimits returns limits for chat traffic on a small instance.
func DefaultLimits() Limits {
	return Limits{
		MaxHeaderBytes:      16 << 10,
		MaxBodyBytes:        1 << 20,
		ReadHeaderTimeout:   5 * time.Second,
		RequestTimeout:      2 * time.Minute,
		PingPeriod:          10 * time.Second,
		DefaultOutputTokens: 256,
		MaxOutputTokens:     8192,
	}
}
