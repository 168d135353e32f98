package node

import (
	"galenastair"
	"galenastair/boottime"
	"galenastair/lease"
)

// duty reads the lease by the machine's clock.
type duty struct{ lease *lease.Lease }

// Order returns the fence for an order sent now.
func (d duty) Order() (galenastair.Fence, bool) { return d.lease.Order(boottime.Now()) }

// Holds says whether this instance plans and lends.
func (d duty) Holds() bool { return d.lease.Holds(boottime.Now()) }

// Hosts says whether others may exchange with this instance and borrow from it.
func (d duty) Hosts() bool { return d.lease.Hosts(boottime.Now()) }

// Refused ends the term of a fence.
func (d duty) Refused(f galenastair.Fence) { d.lease.Refused(f) }
