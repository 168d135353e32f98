package request

import (
	"context"
	"time"

	"galenastair"
	"galenastair/claim"
	"galenastair/config"
	"galenastair/dispatch"
)

// Configuration gives the configuration in force; View returns nil before the first.
type Configuration interface {
	View() *config.View
	// Ready says whether this instance may serve by it: it is not cut off from the
	// log and the rest, and knows the rules of all records.
	Ready() bool
}

// Lease tells whether this instance may act for the system right now.
type Lease interface {
	Holds(now time.Time) bool
}

// Limiter charges organisations for their requests before they are sent.
type Limiter interface {
	Charge(ctx context.Context, o galenastair.Organisation, t galenastair.Tokens, id galenastair.RequestID) (Charge, error)
}

// Charge is what one request was charged; Settle gives back what it did not use.
type Charge interface {
	Settle(used galenastair.Tokens)
}

// Claims keeps requests that may not be repeated from being sent twice.
type Claims interface {
	Begin(ctx context.Context, o galenastair.Organisation, key galenastair.IdempotencyKey, d claim.Digest, id galenastair.RequestID) (Claim, error)
}

// Claim is the right to send one such request once.
type Claim interface {
	Finish(o galenastair.Outcome)
}

// Dispatcher says when a model request may go, and where.
type Dispatcher interface {
	Acquire(ctx context.Context, r dispatch.Request) (*dispatch.Grant, error)
}

// Services says where a call to a plain service may go.
type Services interface {
	Choose(name galenastair.ServiceName, exclude []galenastair.BackendServerID) (ServiceGrant, error)
}

// ServiceGrant is the right to send one call to one plain service.
type ServiceGrant struct {
	Server  galenastair.BackendServerID
	Address string
	Reason  string
	Release func()
}

// Poison remembers requests whose run stopped the backend server.
type Poison interface {
	// Allow returns a refusal if the request has stopped too many backend servers.
	Allow(now time.Time, d claim.Digest) error
	// Stopped counts one more stop and reports whether the request may be tried again.
	Stopped(now time.Time, d claim.Digest) bool
}

// RetryBudget bounds retries to a fraction of traffic.
type RetryBudget interface {
	MayRetry() bool
}
