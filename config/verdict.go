package config

import (
	"fmt"

	"galenastair"
)

// Outcome says what the fold made of a record.
type Outcome string

// The outcomes of a record.
const (
	Accepted Outcome = "Accepted"
	Rejected Outcome = "Rejected"
	// Duplicate is a record whose id was applied before.
	Duplicate Outcome = "Duplicate"
	// Skipped is a record that this fold does not act on: of an unknown kind, unreadable, or already folded.
	Skipped Outcome = "Skipped"
)

// Reason is the stable code of why a record was not accepted.
type Reason string

// The reasons of a verdict.
const (
	NoReason         Reason = ""
	OldOffset        Reason = "OldOffset"
	Malformed        Reason = "Malformed"
	UnknownKind      Reason = "UnknownKind"
	UnknownRules     Reason = "UnknownRules"
	Invalid          Reason = "Invalid"
	Conflict         Reason = "Conflict"
	NameConfusable   Reason = "NameConfusable"
	NoContract       Reason = "NoContract"
	KeyTaken         Reason = "KeyTaken"
	KeyWasWithdrawn  Reason = "KeyWasWithdrawn"
	KeyOmitted       Reason = "KeyOmitted"
	SnapshotMismatch Reason = "SnapshotMismatch"
	SnapshotTooOld   Reason = "SnapshotTooOld"
)

// Change names the record that brought an organisation's configuration to a revision.
type Change struct {
	Offset galenastair.Offset
	Record galenastair.RecordID
	Author string
}

// Verdict is what the fold made of one record; every instance comes to the same one.
type Verdict struct {
	Offset  galenastair.Offset
	Record  galenastair.RecordID
	Kind    galenastair.RecordKind
	Outcome Outcome
	Reason  Reason
	// Winner is the change that stands in the way of a rejected one.
	Winner Change
	Detail string
}

// String returns the verdict on one line.
func (v Verdict) String() string {
	s := fmt.Sprintf("%s at offset %d: %s", v.Outcome, v.Offset, v.Kind)
	if v.Reason != NoReason {
		s += fmt.Sprintf(": %s: %s", v.Reason, v.Detail)
	}
	if v.Winner.Record != "" {
		s += fmt.Sprintf(" (in force: revision %d by %s, record %s)", v.Winner.Offset, v.Winner.Author, v.Winner.Record)
	}
	return s
}
