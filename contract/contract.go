package contract

import (
	"slices"

	"galenastair"
)

// Contract is what one organisation may use, how much of it, and by which keys.
type Contract struct {
	Organisation galenastair.Organisation
	KeyHashes    []galenastair.KeyHash
	Rate         galenastair.TokensPerSecond
	Burst        galenastair.Tokens
	Models       []galenastair.ModelName
	Services     []galenastair.ServiceName
}

// PermitsModel tells whether the contract lets its organisation call the model.
func (c *Contract) PermitsModel(m galenastair.ModelName) bool {
	_, found := slices.BinarySearch(c.Models, m)
	return found
}

// PermitsService tells whether the contract lets its organisation call the plain service.
func (c *Contract) PermitsService(s galenastair.ServiceName) bool {
	_, found := slices.BinarySearch(c.Services, s)
	return found
}

// Clone returns a copy that shares no list with the contract.
func (c *Contract) Clone() Contract {
	d := *c
	d.KeyHashes = slices.Clone(c.KeyHashes)
	d.Models = slices.Clone(c.Models)
	d.Services = slices.Clone(c.Services)
	return d
}

// Sort puts the lists into their canonical order, which PermitsModel and PermitsService rely on.
func (c *Contract) Sort() {
	slices.Sort(c.KeyHashes)
	slices.Sort(c.Models)
	slices.Sort(c.Services)
}
