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

// NoRevision is the base of a change to an organisation that never had a contract; offsets count from 1.
const NoRevision galenastair.Offset = 0

// The kinds of record in the configuration stream.
const (
	KindContractPublished galenastair.RecordKind = "ContractPublished"
	KindContractWithdrawn galenastair.RecordKind = "ContractWithdrawn"
	KindKeyGiven          galenastair.RecordKind = "KeyGiven"
	KindKeyWithdrawn      galenastair.RecordKind = "KeyWithdrawn"
	KindSnapshotTaken     galenastair.RecordKind = "SnapshotTaken"
	KindRulesRaised       galenastair.RecordKind = "RulesRaised"
)

// ContractPublished puts a contract in force in place of the revision it was made from.
type ContractPublished struct {
	Base     galenastair.Offset
	Contract contract.Contract
}

// ContractWithdrawn ends a contract and all its keys.
type ContractWithdrawn struct {
	Base         galenastair.Offset
	Organisation galenastair.Organisation
}

// KeyGiven adds a key to an organisation's contract.
type KeyGiven struct {
	Organisation galenastair.Organisation
	KeyHash      galenastair.KeyHash
}

// KeyWithdrawn ends a key for good, whoever has it.
type KeyWithdrawn struct {
	KeyHash galenastair.KeyHash
}

// SnapshotTaken is one part of a republished fold; records before Covers may expire after it.
type SnapshotTaken struct {
	Covers galenastair.Offset
	Digest Digest
	Part   int
	Parts  int
	Data   []byte
}

// RulesRaised makes every instance fold later records by the rules of a version.
type RulesRaised struct {
	Version int
}

// ErrMalformed says that a record or snapshot cannot be read.
var ErrMalformed = eris.New("the record cannot be read")

// maxID and maxAuthor bound what every fold keeps of a record.
const (
	maxID     = 64
	maxAuthor = 128
)

// NewRecord returns a record of the given kind with a fresh id.
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
	if r.ID == "" || len(r.ID) > maxID {
		return r, eris.Wrap(ErrMalformed, "record id")
	}
	if len(r.Author) > maxAuthor {
		return r, eris.Wrap(ErrMalformed, "author")
	}
	return r, nil
}

// decode refuses unknown fields and trailing bytes, so that no instance reads
// into a record what another leaves out.
func decode(data []byte, v any) error {
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return eris.Wrap(ErrMalformed, err.Error())
	}
	if _, err := d.Token(); err != io.EOF {
		return eris.Wrap(ErrMalformed, "trailing bytes")
	}
	return nil
}
