package entry

import (
	"context"

	"galenastair"
	"galenastair/claim"
	"galenastair/config"
	"galenastair/rate"
	"galenastair/request"
)

// contractSource provides the contracts of one configuration to the rate limiter. It
// is empty until the first configuration is loaded.
type contractSource struct{ view *config.View }

// Contract returns the contract of an organisation.
func (c contractSource) Contract(o galenastair.Organisation) (rate.Contract, bool) {
	if c.view == nil {
		return rate.Contract{}, false
	}
	found, ok := c.view.Contract(o)
	if !ok {
		return rate.Contract{}, false
	}
	return rate.Contract{Rate: found.Rate, Burst: found.Burst, Offset: c.view.LastChange(o).Offset}, true
}

// Organisations returns all organisations that have a contract.
func (c contractSource) Organisations() []galenastair.Organisation {
	if c.view == nil {
		return nil
	}
	return c.view.Organisations()
}

// Offset returns the log offset of the configuration.
func (c contractSource) Offset() galenastair.Offset {
	if c.view == nil {
		return 0
	}
	return c.view.Offset()
}

// limiterAdapter implements request.Limiter with a rate limiter.
type limiterAdapter struct{ *rate.Limiter }

// Charge takes tokens for one request before it is sent.
func (l limiterAdapter) Charge(ctx context.Context, o galenastair.Organisation, t galenastair.Tokens, id galenastair.RequestID) (request.Charge, error) {
	r, err := l.Limiter.Charge(ctx, o, t, id)
	if err != nil {
		return nil, err
	}
	return r, nil
}

// claimsAdapter implements request.Claims with a claim manager.
type claimsAdapter struct{ *claim.Manager }

// Begin takes the claim of a request with an idempotency key.
func (c claimsAdapter) Begin(ctx context.Context, o galenastair.Organisation, key galenastair.IdempotencyKey, d claim.Digest, id galenastair.RequestID) (request.Claim, error) {
	taken, err := c.Manager.Begin(ctx, o, key, d, id)
	if err != nil {
		return nil, err
	}
	return taken, nil
}
