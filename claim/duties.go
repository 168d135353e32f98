package claim

import (
	"time"

	"galenastair"
)

// Duties says which instance is the home of which idempotency key in the present epoch.
type Duties interface {
	// Self returns this instance.
	Self() galenastair.Peer
	Epoch() galenastair.Epoch
	// Members lists all instances of the present epoch, this one too.
	Members() []galenastair.Peer
	// Home returns the instance that the present epoch makes the home of a key.
	Home(key string) (galenastair.Peer, bool)
	// Serves says that this instance is the key's home and that its predecessor no longer is.
	Serves(key string, now time.Time) bool
	// Holds says that this instance's own lease runs.
	Holds(now time.Time) bool
}

// Incarnations is what a Duties implements as well if processes are started
// again under an old ID.
type Incarnations interface {
	// IncarnationOf tells apart the processes that have had the same ID; zero is none.
	IncarnationOf(id galenastair.InstanceID) int64
}
