package rate

import (
	"time"

	"galenastair"
)

// Peer is another instance, as it can be called.
type Peer struct {
	ID               galenastair.InstanceID
	Address          string
	AvailabilityZone galenastair.AvailabilityZone
}

// Duties says which instance holds which slot in the present epoch.
type Duties interface {
	// Self returns this instance.
	Self() Peer
	Epoch() galenastair.Epoch
	// Owner returns the instance that the present epoch gives the slot to.
	Owner(o galenastair.Organisation, s Slot) (Peer, bool)
	// Serves says that this instance has the slot and that its predecessor no longer has.
	Serves(o galenastair.Organisation, s Slot, now time.Time) bool
	// Holds says that this instance's own lease runs.
	Holds(now time.Time) bool
}

// Contracts is this instance's present view of the configuration.
type Contracts interface {
	Contract(o galenastair.Organisation) (Contract, bool)
	// Organisations lists all organisations that have a contract.
	Organisations() []galenastair.Organisation
	// Offset is the position up to which the configuration has been folded.
	Offset() galenastair.Offset
}
