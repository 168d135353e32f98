package config

import (
	"encoding/json"

	"github.com/cespare/xxhash/v2"

	"galenastair"
	"galenastair/contract"
)

// organisation is the state of one organisation; it is never changed, only replaced.
type organisation struct {
	Name   galenastair.Organisation
	Change Change
	// Contract is nil once it is withdrawn; the revision stays, so that a copy
	// of an old record cannot bring the contract back.
	Contract *contract.Contract
}

func hashOrganisation(o galenastair.Organisation) uint64 { return xxhash.Sum64String(string(o)) }

// entry returns the bytes that stand for the organisation in the digest.
func (o *organisation) entry() []byte {
	data, err := json.Marshal(o)
	if err != nil {
		// strings, integers and lists of them always encode
		panic(err)
	}
	return data
}
