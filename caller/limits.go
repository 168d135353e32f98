package caller

import (
	"time"

	"galenastair"
)

// Limits bounds the resources that one request may use on an entry instance.
type Limits struct {
	// MaxHeaderBytes and MaxBodyBytes keep a few large requests from using up the memory
	// of a small instance.
	HeaderBytes int
	BodyBytes   int64
	// ReadHeaderTimeout closes connections whose request header is not received in time.
	ReadHeader time.Duration
	// RequestTimeout bounds the time from the end of the request body to the end of the
	// response.
	Request time.Duration
	// PingPeriod is how long a stream may be idle before a comment is sent, so that
	// neither end takes the connection to a slow model for dead.
	Ping time.Duration
	// DefaultOutputTokens applies to requests without max_tokens.
	DefaultOutput galenastair.Tokens
	MaxOutput     galenastair.Tokens
}

// DefaultLimits returns limits for chat traffic on a small instance.
func DefaultLimits() Limits {
	return Limits{
		HeaderBytes:   16 << 10,
		BodyBytes:     1 << 20,
		ReadHeader:    5 * time.Second,
		Request:       2 * time.Minute,
		Ping:          10 * time.Second,
		DefaultOutput: 256,
		MaxOutput:     8192,
	}
}
