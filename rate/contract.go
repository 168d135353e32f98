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

// ShareRate counts parts of a token per second, Holders parts to a token: every
// rate divides into equal shares without a remainder, and no share of a small
// rate stays empty for ever.
type ShareRate int64

// Share is one holder's part of a contract.
type Share struct {
	Rate  ShareRate
	Burst galenastair.Tokens
}

// Share returns the part of one slot; the parts of all slots sum to the contract exactly.
func (c Contract) Share(slot Slot) Share {
	burst := c.Burst / Holders
	if galenastair.Tokens(slot) < c.Burst%Holders {
		burst++
	}
	return Share{Rate: ShareRate(c.Rate), Burst: burst}
}

// Whole returns the contract as if one instance alone held it.
func (c Contract) Whole() Share {
	return Share{Rate: ShareRate(c.Rate) * Holders, Burst: c.Burst}
}

// least returns the smaller rate with the smaller burst.
func (s Share) least(o Share) Share {
	return Share{Rate: min(s.Rate, o.Rate), Burst: min(s.Burst, o.Burst)}
}
