package member

import (
	"time"

	"galenastair"
)

// Action is something that a node wants its runtime to do.
type Action interface{ action() }

// SendHeartbeat asks the watcher for a promise; Sent returns with its answer.
type SendHeartbeat struct {
	To   Member
	From Incarnation
	Sent time.Time
}

// SendNews exchanges news with a member outside the ring order.
type SendNews struct {
	To Member
}

// AskAdmission asks a member to admit this instance.
type AskAdmission struct {
	To Member
}

// Probe asks who answers at a member's address.
type Probe struct {
	To Member
}

// ReadList reads the platform's list of instances.
type ReadList struct{}

// Append adds a record to the control stream.
type Append struct {
	Record galenastair.Record
}

func (SendHeartbeat) action() {}
func (SendNews) action()      {}
func (AskAdmission) action()  {}
func (Probe) action()         {}
func (ReadList) action()      {}
func (Append) action()        {}
