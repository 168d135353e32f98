package claim

import (
	"time"

	"galenastair"
)

// Assignment assigns the idempotency keys to the instances of the current epoch. The owner of
// a key decides which request may be sent with it.
type Assignment interface {
	// Self returns this instance.
	Self() galenastair.Peer
	Epoch() galenastair.Epoch
	// Members returns all instances of the current epoch, including this one.
	Members() []galenastair.Peer
	// Owner returns the instance to which the current epoch assigns a key.
	Owner(key string) (galenastair.Peer, bool)
	// Serves reports whether this instance owns the key and the previous owner has stopped serving it.
	Serves(key string, now time.Time) bool
	// HoldsLease reports whether this instance's own lease is valid.
	HoldsLease(now time.Time) bool
}

// Incarnations is an optional interface of an Assignment whose processes can restart
// with the same ID.
type Incarnations interface {
	// IncarnationOf returns a number that differs between the processes that have had the same
	// ID. Zero means that the process is not known.
	IncarnationOf(id galenastair.InstanceID) int64
}
