package overload

import (
	"sync/atomic"
	"time"
)

const (
	// maxWait is the time that a new connection may wait for the processor. A request waits about as
	// long several times until its response begins.
	maxWait = 100 * time.Millisecond
	// keepOneIn is the number of late connections of which one is served. An instance that closed all
	// of them would count as lost.
	keepOneIn = 10
)

// admission decides which new connections are served.
type admission struct{ late atomic.Int64 }

// admit reports whether to serve a connection that has waited for the processor for some time.
func (a *admission) admit(waited time.Duration) bool {
	return waited <= maxWait || a.late.Add(1)%keepOneIn == 0
}
