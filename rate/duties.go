package rate

import (
	"time"

	"galenastair"
)

// Duties says, at one moment, which instance holds which share; it is immutable.
type Duties interface {
	// Self returns this instance.
	Self() galenastair.Peer
	Epoch() galenastair.Epoch
	// Incarnation numbers this instance's present stay among the members.
	Incarnation() int64
	// Owner returns the instance that the epoch gives an account to.
	Owner(a Account) (galenastair.Peer, bool)
	// Holds says that this instance holds its lease and the epoch gives it the account.
	Holds(a Account, now time.Time) bool
	// Serves says that this instance holds its lease and the account, and that
	// whoever had the account before no longer has it.
	Serves(a Account, now time.Time) bool
}

// Contracts is a view of the configuration at one offset; it is immutable.
type Contracts interface {
	Contract(o galenastair.Organisation) (Contract, bool)
	// Organisations lists all organisations that have a contract.
	Organisations() []galenastair.Organisation
	// Offset is the position of the first record that the view does not hold.
	Offset() galenastair.Offset
}
