package node

import (
	"galenastair"
	"galenastair/boottime"
	"galenastair/lease"
)

// leaseAdapter implements planner.Lease with the time of the boot clock.
type heldLease struct{ lease *lease.Lease }

// OrderFence returns the fence for an order that is sent now.
func (h heldLease) Order() (galenastair.Fence, bool) { return h.lease.Order(boottime.Now()) }

// Holds reports whether this instance holds the lease.
func (h heldLease) Holds() bool { return h.lease.Holds(boottime.Now()) }

// ServesPeers reports whether this instance may answer the reports of other instances and lend to them.
func (h heldLease) Hosts() bool { return h.lease.Hosts(boottime.Now()) }

// FenceRefused ends the term of a fence that an engine has refused.
func (h heldLease) Refused(f galenastair.Fence) { h.lease.Refused(f) }
