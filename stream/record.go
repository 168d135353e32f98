package stream

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"galenastair"
)

// Key is a short hash of the ID of the attempt that received the first event of a stream.
type Key uint64

// KeyOf returns the key of an attempt.
func KeyOf(id galenastair.RequestID) Key { return Key(xxhash.Sum64String(string(id))) }

// Origin is where a stream began.
type Origin struct {
	Service galenastair.ServiceName
	Version galenastair.SoftwareVersion
}

// Record is the origin of one stream.
type Record struct {
	Key    Key
	Origin Origin
	// TimeLeft is how long the stream may still be resumed.
	TimeLeft time.Duration
}
