package config

import (
	"fmt"

	"galenastair"
)

// Outcome is the outcome of applying a record.
type Outcome string

// Outcomes of applying a record.
const (
	Accepted Outcome = "Accepted"
	Rejected Outcome = "Rejected"
	// Duplicate means that a record with the same ID was already applied.
	Duplicate Outcome = "Duplicate"
	// Skipped means that the record is of an unknown kind, malformed, or before the next offset.
	Skipped Outcome = "Skipped"
)

// Reason is a stable code for why a record was not accepted.
type Reason string

// Reasons of an ApplyResult.
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

// Change identifies the record that created a revision of an organisation's configuration.
type Change struct {
	Offset galenastair.Offset
	Record galenastair.RecordID
	Author string
}

// ApplyResult is the result of applying one record; it is the same on every instance.
type ApplyResult struct {
	Offset  galenastair.Offset
	Record  galenastair.RecordID
	Kind    galenastair.RecordKind
	Outcome Outcome
	Reason  Reason
	// ExistingChange is the change that a rejected record conflicts with, or the first
	// occurrence of a duplicate.
	ExistingChange Change
	Detail         string
}

// String formats the result on one line.
func (r ApplyResult) String() string {
	s := fmt.Sprintf("%s at offset %d: %s", r.Outcome, r.Offset, r.Kind)
	if r.Reason != NoReason {
		s += fmt.Sprintf(": %s: %s", r.Reason, r.Detail)
	}
	if r.ExistingChange.Record != "" {
		s += fmt.Sprintf(" (in force: revision %d by %s, record %s)", r.ExistingChange.Offset, r.ExistingChange.Author, r.ExistingChange.Record)
	}
	return s
}
