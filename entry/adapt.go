package entry

import (
	"context"

	"galenastair"
	"galenastair/claim"
	"galenastair/config"
	"galenastair/rate"
	"galenastair/request"
)

// contracts shows one configuration to the limiter; before the first there are none.
type contracts struct{ view *config.View }

// Contract returns what an organisation may use.
func (c contracts) Contract(o galenastair.Organisation) (rate.Contract, bool) {
	if c.view == nil {
		return rate.Contract{}, false
	}
	found, ok := c.view.Contract(o)
	if !ok {
		return rate.Contract{}, false
	}
	return rate.Contract{Rate: found.Rate, Burst: found.Burst, Offset: c.view.Latest(o).Offset}, true
}

// Organisations lists all organisations that have a contract.
func (c contracts) Organisations() []galenastair.Organisation {
	if c.view == nil {
		return nil
	}
	return c.view.Organisations()
}

// Offset is the position up to which the configuration has been folded.
func (c contracts) Offset() galenastair.Offset {
	if c.view == nil {
		return 0
	}
	return c.view.Offset()
}

// charges gives the rate limiter the form that requests ask for.
type charges struct{ *rate.Limiter }

// Charge takes tokens for one request before it is sent.
func (l charges) Charge(ctx context.Context, o galenastair.Organisation, t galenastair.Tokens, id galenastair.RequestID) (request.Charge, error) {
	r, err := l.Limiter.Charge(ctx, o, t, id)
	if err != nil {
		return nil, err
	}
	return r, nil
}

// keeper gives the keeper of claims the form that requests ask for.
type keeper struct{ *claim.Keeper }

// Begin takes the claim of a request that may not be repeated.
func (c keeper) Begin(ctx context.Context, o galenastair.Organisation, key galenastair.IdempotencyKey, d claim.Digest, id galenastair.RequestID) (request.Claim, error) {
	kept, err := c.Keeper.Begin(ctx, o, key, d, id)
	if err != nil {
		return nil, err
	}
	return kept, nil
}
