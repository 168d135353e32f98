package permit

import (
	"time"

	"galenastair"
)

// ID identifies a permit of a server. It is not 0.
type ID uint64

// Timing of the permits. A permit that is lost with a message, or with its holder, is free again after
// TTL.
const (
	// RenewInterval is the interval at which an instance renews its permits.
	RenewInterval = 500 * time.Millisecond
	// TTL is how long a permit is valid without a renewal.
	TTL = 4 * RenewInterval
)

// Request asks for a permit to send one request to a server.
type Request struct {
	Server galenastair.BackendServerID
	// Limit is the number of requests that the server surely takes at once.
	Limit int
	// MaxWait is how long the request may wait.
	MaxWait time.Duration
}

// Decision is the answer to a Request.
type Decision struct {
	// ID is the permit, 0 if there is none.
	ID ID
	// Delay estimates the time until there is a permit if the request got none.
	Delay time.Duration
}

// Usage is what an instance has in flight at a server.
type Usage struct {
	Server galenastair.BackendServerID
	// Held are the permits of the instance, and Released those that it needs no longer.
	Held, Released []ID
	// Unpermitted is the number of its requests in flight that have no permit, as they were sent before
	// the server needed one.
	Unpermitted int
	// DeclineLimit is the number of requests per second that the server can decline, if it has declined one
	// since the last message; 0 otherwise.
	DeclineLimit float64
}

// IsEmpty reports whether there is nothing to tell.
func (u Usage) IsEmpty() bool {
	return len(u.Held) == 0 && len(u.Released) == 0 && u.Unpermitted == 0 && u.DeclineLimit == 0
}
