package contract

import (
	"slices"

	"galenastair"
)

// Contract is what an organisation may use, at which rate, and with which keys.
type Contract struct {
	Organisation galenastair.Organisation
	KeyHashes    []galenastair.KeyHash
	Rate         galenastair.TokensPerSecond
	Burst        galenastair.Tokens
	Models       []galenastair.ModelName
	Services     []galenastair.ServiceName
}

// PermitsModel reports whether the organisation may call the model. The contract must be
// sorted.
func (c *Contract) PermitsModel(m galenastair.ModelName) bool {
	_, found := slices.BinarySearch(c.Models, m)
	return found
}

// PermitsService reports whether the organisation may call the plain service. The contract
// must be sorted.
func (c *Contract) PermitsService(s galenastair.ServiceName) bool {
	_, found := slices.BinarySearch(c.Services, s)
	return found
}

// Clone returns a deep copy of the contract.
func (c *Contract) Clone() Contract {
	d := *c
	d.KeyHashes = slices.Clone(c.KeyHashes)
	d.Models = slices.Clone(c.Models)
	d.Services = slices.Clone(c.Services)
	return d
}

// Sort sorts the lists into canonical order, which PermitsModel and PermitsService rely on.
func (c *Contract) Sort() {
	slices.Sort(c.KeyHashes)
	slices.Sort(c.Models)
	slices.Sort(c.Services)
}
