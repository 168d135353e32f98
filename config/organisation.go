package config

import (
	"encoding/json"

	"github.com/cespare/xxhash/v2"

	"galenastair"
	"galenastair/contract"
)

// organisation is the immutable state of one organisation; a change replaces it.
type organisation struct {
	Name   galenastair.Organisation
	Change Change
	// Contract is nil after the contract was withdrawn. Change is retained, so that a
	// duplicate of an old record cannot restore the contract.
	Contract *contract.Contract
}

func hashOrganisation(o galenastair.Organisation) uint64 { return xxhash.Sum64String(string(o)) }

// digestInput returns the bytes that are hashed into the digest for the organisation.
func (o *organisation) digestInput() []byte {
	data, err := json.Marshal(o)
	if err != nil {
		// strings, integers and slices of them always encode
		panic(err)
	}
	return data
}
