package rate

import "galenastair"

// Holders is the number of instances that hold a share of each organisation's
// rate and burst: with three in different availability zones, one zone can be
// lost and one instance be replaced at the same time, and one share still serves.
const Holders = 3

// Slot numbers the shares of an organisation from 0.
type Slot int

// Contract is what an organisation may use over all instances together.
type Contract struct {
	Rate  galenastair.TokensPerSecond
	Burst galenastair.Tokens
	// Offset is the position of the configuration record that it comes from.
	Offset galenastair.Offset
}

// Share is one holder's part of a contract.
type Share struct {
	Rate  galenastair.TokensPerSecond
	Burst galenastair.Tokens
}

// Share returns the part of one slot; the parts of all slots sum to the contract exactly.
func (c Contract) Share(slot Slot) Share {
	return Share{
		Rate:  galenastair.TokensPerSecond(part(int64(c.Rate), slot)),
		Burst: galenastair.Tokens(part(int64(c.Burst), slot)),
	}
}

// part spreads the remainder of the division over the first slots.
func part(whole int64, slot Slot) int64 {
	p := whole / Holders
	if int64(slot) < whole%Holders {
		p++
	}
	return p
}
