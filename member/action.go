package member

import (
	"time"

	"galenastair"
)

// Action is an operation that a Node requests from its Runtime.
type Action interface{ action() }

// SendHeartbeat requests a lease from the watcher. The reply is passed to Node.HandleHeartbeatReply
// together with Heartbeat.
type SendHeartbeat struct {
	To        Member
	Heartbeat Heartbeat
}

// Heartbeat is a member's request for a lease from its watcher.
type Heartbeat struct {
	From Incarnation
	To   Incarnation
	// Sequence increases with each heartbeat of an incarnation.
	Sequence int64
	// WatchEpoch is the epoch that made the receiver the sender's watcher, as far as the sender has
	// applied the log.
	WatchEpoch galenastair.Epoch
	// Sent is the sender's clock reading.
	Sent time.Time
	// Requested is the requested duration of the lease. Zero releases the lease: the sender no
	// longer acts on any.
	Requested time.Duration
	// LeaseRemaining is how long the sender's lease still runs after Sent. Only renewals and
	// replies to this and later heartbeats can extend it further.
	LeaseRemaining time.Duration
}

// SendGossip exchanges gossip with a member that need not be a neighbour in the ring.
type SendGossip struct {
	To Member
}

// AskAdmission asks a member to admit this instance to the ring.
type AskAdmission struct {
	To Member
}

// Probe asks which process answers at a member's address.
type Probe struct {
	To Member
}

// ReadList reads the platform's list of instances.
type ReadList struct{}

// Append appends a record to the control stream.
type Append struct {
	Record galenastair.Record
}

func (SendHeartbeat) action() {}
func (SendGossip) action()    {}
func (AskAdmission) action()  {}
func (Probe) action()         {}
func (ReadList) action()      {}
func (Append) action()        {}
