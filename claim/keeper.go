package claim

import (
	"context"
	"net/http"

	"galenastair"
)

// Keeper makes claims on idempotency keys for this instance and keeps those of others.
type Keeper struct {
	duties Duties
}

// Option changes how a keeper is built.
type Option func(*Keeper)

// New returns a keeper; it serves from when Run is called.
func New(d Duties, opts ...Option) *Keeper {
	k := &Keeper{duties: d}
	for _, o := range opts {
		o(k)
	}
	return k
}

// Claim is the right to send one request once.
type Claim struct{}

// Begin claims a key for one request before it is sent, or returns a *galenastair.Refusal.
func (k *Keeper) Begin(ctx context.Context, _ galenastair.Organisation, _ galenastair.IdempotencyKey, _ Digest, _ galenastair.RequestID) (*Claim, error) {
	return &Claim{}, ctx.Err()
}

// Finish tells the outcome of the request; NotRun frees the key for another try.
func (c *Claim) Finish(_ galenastair.Outcome) {}

// Run keeps the claims until the context ends.
func (k *Keeper) Run(ctx context.Context) error {
	<-ctx.Done()
	return ctx.Err()
}

// Handler serves the other instances.
func (k *Keeper) Handler() http.Handler { return http.NotFoundHandler() }
