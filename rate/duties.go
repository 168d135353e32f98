package rate

import (
	"time"

	"galenastair"
)

// Assignment is a snapshot of which instance owns which share. It is immutable.
type Assignment interface {
	Self() galenastair.Peer
	Epoch() galenastair.Epoch
	// Incarnation increases each time this instance joins the members again.
	Incarnation() int64
	// Owner returns the instance to which the epoch assigns a share.
	Owner(id ShareID) (galenastair.Peer, bool)
	// Owns reports whether this instance's lease is valid and the epoch assigns it the
	// share.
	Owns(id ShareID, now time.Time) bool
	// Serves reports whether Owns holds and no earlier owner may still serve the share.
	Serves(id ShareID, now time.Time) bool
}

// Contracts is a snapshot of the configuration at one log offset. It is immutable.
type Contracts interface {
	Contract(o galenastair.Organisation) (Contract, bool)
	// Organisations returns all organisations that have a contract.
	Organisations() []galenastair.Organisation
	// Offset is the position of the first record that the snapshot does not contain.
	Offset() galenastair.Offset
}
