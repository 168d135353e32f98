package node

import (
	"galenastair"
	"galenastair/boottime"
	"galenastair/lease"
)

// heldLease reads the lease by the machine's clock.
type heldLease struct{ lease *lease.Lease }

// Order returns the fence for an order sent now.
func (h heldLease) Order() (galenastair.Fence, bool) { return h.lease.Order(boottime.Now()) }

// Holds says whether this instance plans and lends.
func (h heldLease) Holds() bool { return h.lease.Holds(boottime.Now()) }

// Hosts says whether others may exchange with this instance and borrow from it.
func (h heldLease) Hosts() bool { return h.lease.Hosts(boottime.Now()) }

// Refused ends the term of a fence.
func (h heldLease) Refused(f galenastair.Fence) { h.lease.Refused(f) }
