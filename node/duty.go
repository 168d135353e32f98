package node

import (
	"galenastair"
	"galenastair/boottime"
	"galenastair/turn"
)

// duty reads the turn by the machine's clock.
type duty struct{ turn *turn.Turn }

// Order returns the fence for an order sent now.
func (d duty) Order() (galenastair.Fence, bool) { return d.turn.Order(boottime.Now()) }

// Holds says whether this instance plans and lends.
func (d duty) Holds() bool { return d.turn.Holds(boottime.Now()) }

// Hosts says whether others may exchange with this instance and borrow from it.
func (d duty) Hosts() bool { return d.turn.Hosts(boottime.Now()) }

// Refused ends the term of a fence.
func (d duty) Refused(f galenastair.Fence) { d.turn.Refused(f) }
