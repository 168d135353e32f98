package node

import (
	"galenastair"
	"galenastair/boottime"
	"galenastair/lease"
)

// leaseAdapter implements planner.Lease with the time of the boot clock.
type leaseAdapter struct{ lease *lease.Lease }

// OrderFence returns the fence for an order that is sent now.
func (h leaseAdapter) OrderFence() (galenastair.Fence, bool) {
	return h.lease.OrderFence(boottime.Now())
}

// Holds reports whether this instance holds the lease.
func (h leaseAdapter) Holds() bool { return h.lease.Holds(boottime.Now()) }

// ServesPeers reports whether this instance may answer the reports of other instances and lend to them.
func (h leaseAdapter) ServesPeers() bool { return h.lease.ServesPeers(boottime.Now()) }

// FenceRejected ends the term of a fence that an engine has refused.
func (h leaseAdapter) FenceRejected(f galenastair.Fence) { h.lease.FenceRejected(f) }
