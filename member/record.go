package member

import (
	"encoding/json"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"galenastair"
)

// The kinds of membership record in the control stream.
const (
	KindFound    galenastair.RecordKind = "MemberFound"
	KindJoin     galenastair.RecordKind = "MemberJoin"
	KindLeave    galenastair.RecordKind = "MemberLeave"
	KindLapse    galenastair.RecordKind = "MemberLapse"
	KindRenew    galenastair.RecordKind = "MemberRenew"
	KindSnapshot galenastair.RecordKind = "ControlSnapshot"
)

// Found starts a ring of one member; it holds only if no membership record was folded after Last.
type Found struct {
	ID               galenastair.InstanceID
	AvailabilityZone galenastair.AvailabilityZone
	PeerAddress      string
	Token            string
	Epoch            galenastair.Epoch
	// Last is the offset of the last membership record that its author folded, plus one.
	Last galenastair.Offset
}

// Join admits a member right before its admitter, whose duty as watcher it takes over.
type Join struct {
	ID               galenastair.InstanceID
	AvailabilityZone galenastair.AvailabilityZone
	PeerAddress      string
	Token            string
	// Admitter is the author's incarnation.
	Admitter Incarnation
	// Watched and WatchedSince name the duty that the author held when it wrote the record.
	Watched      Incarnation
	WatchedSince galenastair.Epoch
}

// Leave ends the author's own membership.
type Leave struct {
	Incarnation Incarnation
}

// Lapse ends the membership of the member that the author watches.
type Lapse struct {
	Watcher      Incarnation
	Incarnation  Incarnation
	WatchedSince galenastair.Epoch
	// Renewal is the last renewal that the author had folded.
	Renewal galenastair.Offset
}

// Renew keeps a lease through the log while its watcher is silent.
type Renew struct {
	Incarnation Incarnation
}

// Snapshot carries the folds of the control stream up to an offset, so that older records may expire.
type Snapshot struct {
	// Covers is the first offset that the sections have not folded.
	Covers     galenastair.Offset
	Membership json.RawMessage
	// Sections holds the state of other folds of the stream by name.
	Sections map[string]json.RawMessage
}

// NewRecord wraps a body in the envelope of the control stream.
func NewRecord(author galenastair.InstanceID, kind galenastair.RecordKind, body any) (galenastair.Record, error) {
	raw, err := json.Marshal(body)
	if err != nil {
		return galenastair.Record{}, eris.Wrapf(err, "encode %s", kind)
	}
	return galenastair.Record{ID: galenastair.RecordID(uuid.NewString()), Kind: kind, Author: string(author), Body: raw}, nil
}
