package caller

import (
	"time"

	"galenastair"
)

// Limits bounds what one request may cost an entry instance.
type Limits struct {
	// HeaderBytes and BodyBytes keep a few large requests from filling a small instance.
	HeaderBytes int
	BodyBytes   int64
	// ReadHeader ends connections that never finish their header.
	ReadHeader time.Duration
	// Request is how long a caller is served at most.
	Request time.Duration
	// Ping is how long a streamed answer may be quiet before a comment is sent,
	// so that neither end takes a slow model for a dead connection.
	Ping          time.Duration
	DefaultOutput galenastair.Tokens
	MaxOutput     galenastair.Tokens
}

// DefaultLimits suit chat traffic on a small instance.
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
