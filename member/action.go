package member

import (
	"time"

	"galenastair"
)

// Action is something that a node wants its runtime to do.
type Action interface{ action() }

// SendHeartbeat asks the watcher for a promise; Beat returns with its answer.
type SendHeartbeat struct {
	To   Member
	Beat Heartbeat
}

// Heartbeat is what a member says to its watcher.
type Heartbeat struct {
	From Incarnation
	To   Incarnation
	// Number grows with each heartbeat of an incarnation.
	Number int64
	// Watch is the epoch that made the receiver the sender's watcher, as the sender has folded it.
	Watch galenastair.Epoch
	// Sent is a reading of the sender's clock.
	Sent time.Time
	// Want is how long a promise it asks for; zero from one that has stopped acting on any.
	Want time.Duration
	// Claim is how long its lease runs from Sent; from now on only answers to
	// this heartbeat and later ones, and renewals, can make it longer.
	Claim time.Duration
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
