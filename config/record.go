package config

import (
	"bytes"
	"encoding/json"
	"io"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"galenastair"
	"galenastair/contract"
)

// NoRevision is the base of a change to an organisation that never had a contract; offsets start at 1.
const NoRevision galenastair.Offset = 0

// Record kinds of the configuration stream.
const (
	KindContractPublished galenastair.RecordKind = "ContractPublished"
	KindContractWithdrawn galenastair.RecordKind = "ContractWithdrawn"
	KindKeyGiven          galenastair.RecordKind = "KeyGiven"
	KindKeyWithdrawn      galenastair.RecordKind = "KeyWithdrawn"
	KindSnapshotTaken     galenastair.RecordKind = "SnapshotTaken"
	KindRulesRaised       galenastair.RecordKind = "RulesRaised"
)

// ContractPublished puts a contract in force. Base is the revision that it replaces.
type ContractPublished struct {
	Base     galenastair.Offset
	Contract contract.Contract
}

// ContractWithdrawn withdraws a contract and all of its keys.
type ContractWithdrawn struct {
	Base         galenastair.Offset
	Organisation galenastair.Organisation
}

// KeyGiven adds a key to an organisation's contract.
type KeyGiven struct {
	Organisation galenastair.Organisation
	KeyHash      galenastair.KeyHash
}

// KeyWithdrawn permanently withdraws a key of any organisation.
type KeyWithdrawn struct {
	KeyHash galenastair.KeyHash
}

// SnapshotTaken is one part of a snapshot; records before Covers may expire once it is appended.
type SnapshotTaken struct {
	Covers galenastair.Offset
	Digest Digest
	Part   int
	Parts  int
	Data   []byte
}

// RulesRaised makes every instance apply later records by the given version of the rules.
type RulesRaised struct {
	Version int
}

// ErrMalformed is returned for a record or snapshot that cannot be decoded.
var ErrMalformed = eris.New("malformed record or snapshot")

// maxIDBytes and maxAuthorBytes bound the fields of a record that the state machine stores.
const (
	maxIDBytes     = 64
	maxAuthorBytes = 128
)

// NewRecord returns a record of the given kind with a new ID.
func NewRecord(kind galenastair.RecordKind, author string, body any) (galenastair.Record, error) {
	raw, err := json.Marshal(body)
	if err != nil {
		return galenastair.Record{}, eris.Wrap(err, "encode record body")
	}
	id := galenastair.RecordID(uuid.NewString())
	return galenastair.Record{ID: id, Kind: kind, Author: author, Body: raw}, nil
}

func decodeRecord(data []byte) (galenastair.Record, error) {
	var r galenastair.Record
	if err := decode(data, &r); err != nil {
		return r, err
	}
	if r.ID == "" || len(r.ID) > maxIDBytes {
		return r, eris.Wrap(ErrMalformed, "record ID is empty or too long")
	}
	if len(r.Author) > maxAuthorBytes {
		return r, eris.Wrap(ErrMalformed, "author is too long")
	}
	return r, nil
}

// decode rejects unknown fields and trailing data, so that all instances, whatever their
// version, decode a record alike or not at all.
func decode(data []byte, v any) error {
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return eris.Wrap(ErrMalformed, err.Error())
	}
	if _, err := d.Token(); err != io.EOF {
		return eris.Wrap(ErrMalformed, "trailing data")
	}
	return nil
}
