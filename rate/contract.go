package rate

import "galenastair"

// Holders is the number of instances that hold a share of each organisation's rate and
// burst. With three in different availability zones, one share is still served when one
// zone is lost while one instance is being replaced.
const Holders = 3

// Slot is the index of one of an organisation's shares, from 0.
type Slot int

// Contract is the rate and burst that an organisation may use over all instances
// together.
type Contract struct {
	Rate  galenastair.TokensPerSecond
	Burst galenastair.Tokens
	// Offset is the log position of the configuration record that the contract comes
	// from.
	Offset galenastair.Offset
}

// ShareRate is a rate in units of 1/Holders token per second. Every rate divides into
// equal shares without a remainder, and the shares of a small rate do not round to
// zero.
type ShareRate int64

// Limits are the rate and burst of one share.
type Limits struct {
	Rate  ShareRate
	Burst galenastair.Tokens
}

// ShareLimits returns the limits of one slot's share. The limits of all slots sum to
// exactly the contract.
func (c Contract) ShareLimits(slot Slot) Limits {
	burst := c.Burst / Holders
	if galenastair.Tokens(slot) < c.Burst%Holders {
		burst++
	}
	return Limits{Rate: ShareRate(c.Rate), Burst: burst}
}

// TotalLimits returns the limits of a single bucket for the whole contract.
func (c Contract) TotalLimits() Limits {
	return Limits{Rate: ShareRate(c.Rate) * Holders, Burst: c.Burst}
}

// lowerOf returns the lower rate and the lower burst of the two.
func (s Limits) lowerOf(o Limits) Limits {
	return Limits{Rate: min(s.Rate, o.Rate), Burst: min(s.Burst, o.Burst)}
}
