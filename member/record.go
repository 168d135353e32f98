package member

import (
	"encoding/json"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"galenastair"
)

// The kinds of membership records in the control stream.
const (
	KindBootstrap galenastair.RecordKind = "MemberFound"
	KindJoin      galenastair.RecordKind = "MemberJoin"
	KindLeave     galenastair.RecordKind = "MemberLeave"
	KindLapse     galenastair.RecordKind = "MemberLapse"
	KindRenew     galenastair.RecordKind = "MemberRenew"
	KindSnapshot  galenastair.RecordKind = "ControlSnapshot"
)

// Bootstrap starts a ring of one member. It has no effect if a membership record was applied after Last.
type Bootstrap struct {
	ID               galenastair.InstanceID
	AvailabilityZone galenastair.AvailabilityZone
	PeerAddress      string
	Token            string
	Epoch            galenastair.Epoch
	// Last is the offset of the last membership record that its author has applied, plus one.
	Last galenastair.Offset
}

// Join inserts a member right before its admitter. The new member takes over the admitter's watch.
type Join struct {
	ID               galenastair.InstanceID
	AvailabilityZone galenastair.AvailabilityZone
	PeerAddress      string
	Token            string
	// Admitter is the author's incarnation.
	Admitter Incarnation
	// Watched and WatchedSince name the watch that the author had when it wrote the record.
	Watched      Incarnation
	WatchedSince galenastair.Epoch
}

// Leave ends the author's own membership.
type Leave struct {
	Incarnation Incarnation
}

// Lapse ends the membership of the member that the author watches, after its lease has expired.
type Lapse struct {
	Watcher      Incarnation
	Incarnation  Incarnation
	WatchedSince galenastair.Epoch
	// Renewal is the watched member's last renewal that the author has applied.
	Renewal galenastair.Offset
}

// Renew extends the author's lease through the log while its watcher does not answer.
type Renew struct {
	Incarnation Incarnation
}

// Snapshot holds the state of the control stream up to an offset, so that older records may expire.
type Snapshot struct {
	// Covers is the first offset whose record is not included.
	Covers     galenastair.Offset
	Membership json.RawMessage
	// Sections holds the states of the other state machines, by name.
	Sections map[string]json.RawMessage
}

// NewRecord returns a record of the control stream with the encoded body.
func NewRecord(author galenastair.InstanceID, kind galenastair.RecordKind, body any) (galenastair.Record, error) {
	raw, err := json.Marshal(body)
	if err != nil {
		return galenastair.Record{}, eris.Wrapf(err, "encode %s", kind)
	}
	return galenastair.Record{ID: galenastair.RecordID(uuid.NewString()), Kind: kind, Author: string(author), Body: raw}, nil
}
